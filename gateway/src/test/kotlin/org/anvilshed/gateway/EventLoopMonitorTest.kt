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
        /** Returns whether a step behind the check runs although its caller leaves in the next turn. */
        fun runsAfter(busyMilliseconds: Int): Boolean = runBlocking {
            var now = MonotonicTime(0)
            val eventLoopMonitor = EventLoopMonitor { now }
            eventLoopMonitor.timerFired()
            now += busyMilliseconds.milliseconds
            var hasRun = false
            val request = launch(start = CoroutineStart.UNDISPATCHED) {
                eventLoopMonitor.awaitSocketReadsIfDelayed()
                hasRun = true
            }
            request.cancel()
            request.join()
            hasRun
        }

        // Guards against requests that are sent on after their callers left while the event loop was busy.
        test("after a long turn closes are read before a request is sent") {
            runsAfter(busyMilliseconds = 200) shouldBe false
        }

        test("a request is sent at once while the event loop keeps up") {
            runsAfter(busyMilliseconds = 20) shouldBe true
        }
    })
