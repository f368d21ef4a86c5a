package org.anvilshed.daemon.limits

import kotlinx.coroutines.delay
import org.anvilshed.core.limits.RateLimiter
import org.anvilshed.daemon.DaemonClock
import kotlin.time.Duration.Companion.milliseconds

private val MINIMUM_WAIT = 1.milliseconds

/** Longest wait between two checks, so that a change of the shares and with them of the limit takes effect. */
private val MAXIMUM_WAIT = 50.milliseconds

/** Delays the sender of a body, so that the body stays within the limit of the link between two regions. */
internal class LinkPacer(private val limiter: RateLimiter?, private val clock: DaemonClock) {
    /** Suspends until [bytes] bytes may be sent; returns at once if there is no limit. */
    suspend fun await(bytes: Int) {
        if (limiter == null) return
        while (!limiter.tryAcquire(bytes.toDouble(), clock.now())) {
            delay(limiter.waitingTime(bytes.toDouble(), clock.now()).coerceIn(MINIMUM_WAIT, MAXIMUM_WAIT))
        }
    }
}
