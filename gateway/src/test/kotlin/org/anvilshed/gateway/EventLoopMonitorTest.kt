package org.anvilshed.gateway

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import org.anvilshed.core.MonotonicTime
import kotlin.time.Duration.Companion.milliseconds

class EventLoopMonitorTest :
    FunSpec({
        /** Returns whether the code after the check runs although its job is cancelled right after the check. */
        fun continuesAfterDelay(delayMilliseconds: Int): Boolean = runBlocking {
            var now = MonotonicTime(0)
            val eventLoopMonitor = EventLoopMonitor { now }
            eventLoopMonitor.timerFired()
            now += delayMilliseconds.milliseconds
            var hasRun = false
            val request = launch(start = CoroutineStart.UNDISPATCHED) {
                eventLoopMonitor.awaitSocketReadsIfDelayed()
                hasRun = true
            }
            request.cancel()
            request.join()
            hasRun
        }

        // Guards against forwarding requests whose callers disconnected while the event loop was busy.
        test("after a delay of the event loop, disconnected callers are noticed before a request is sent") {
            continuesAfterDelay(delayMilliseconds = 200) shouldBe false
        }

        test("without a delay of the event loop, a request is sent at once") {
            continuesAfterDelay(delayMilliseconds = 20) shouldBe true
        }
    })
