package org.anvilshed.gateway

import kotlinx.coroutines.delay
import org.anvilshed.core.MonotonicTime
import kotlin.time.Duration.Companion.milliseconds

/**
 * Detects delays of the event loop, during which it does not notice that callers disconnect.
 *
 * Confined to the event loop.
 */
internal class EventLoopMonitor(private val clock: MonotonicClock) {
    private var lastTimerAt: MonotonicTime = clock()

    /** Records that a periodic timer fired; the event loop reads all sockets shortly before its timers. */
    fun timerFired() {
        lastTimerAt = clock()
    }

    /** Suspends until the event loop has read all sockets, if it has not done so for [DELAY_THRESHOLD]. */
    suspend fun awaitSocketReadsIfDelayed() {
        if (clock() - lastTimerAt > DELAY_THRESHOLD) delay(MINIMUM_DELAY)
    }

    private companion object {
        /** Several periods of the timer; a disconnected caller is noticed within about this time. */
        val DELAY_THRESHOLD = 60.milliseconds

        /** Even the shortest timer fires only after the sockets were read. */
        val MINIMUM_DELAY = 1.milliseconds
    }
}
