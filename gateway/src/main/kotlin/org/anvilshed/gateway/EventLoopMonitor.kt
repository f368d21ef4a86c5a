package org.anvilshed.gateway

import kotlinx.coroutines.delay
import org.anvilshed.core.MonotonicTime
import kotlin.time.Duration.Companion.milliseconds

/**
 * Notices turns of the event loop that take long, in which closes of callers are not read.
 *
 * Used by the event loop alone.
 */
internal class EventLoopMonitor(private val clock: MonotonicClock) {
    private var lastTimerAt: MonotonicTime = clock()

    /** Records that a timer of the event loop fired, so that all sockets were read shortly before. */
    fun timerFired() {
        lastTimerAt = clock()
    }

    /** Lets the event loop read all sockets before the caller goes on, if it has not done so for [DELAY_THRESHOLD]. */
    suspend fun awaitSocketReadsIfDelayed() {
        if (clock() - lastTimerAt > DELAY_THRESHOLD) delay(MINIMUM_DELAY)
    }

    private companion object {
        /** Several periods of the timer; a caller that left is noticed within about this time. */
        val DELAY_THRESHOLD = 60.milliseconds

        /** A timer fires after the sockets were read, however short it is. */
        val MINIMUM_DELAY = 1.milliseconds
    }
}
