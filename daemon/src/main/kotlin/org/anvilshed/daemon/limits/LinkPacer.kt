package org.anvilshed.daemon.limits

import kotlinx.coroutines.delay
import org.anvilshed.core.limits.RateLimiter
import org.anvilshed.daemon.DaemonClock
import kotlin.time.Duration.Companion.milliseconds

private val SHORTEST_WAIT = 1.milliseconds

/** Wait after which a changed number of seats is noticed. */
private val LONGEST_WAIT = 50.milliseconds

/** Delays the sender of a body so that it keeps to the limit of a link. */
internal class LinkPacer(private val link: RateLimiter?, private val clock: DaemonClock) {
    /** Suspends until [bytes] may be sent; returns at once if there is no limit. */
    suspend fun await(bytes: Int) {
        if (link == null) return
        while (!link.tryAcquire(bytes.toDouble(), clock.now())) {
            delay(link.waitingTime(bytes.toDouble(), clock.now()).coerceIn(SHORTEST_WAIT, LONGEST_WAIT))
        }
    }
}
