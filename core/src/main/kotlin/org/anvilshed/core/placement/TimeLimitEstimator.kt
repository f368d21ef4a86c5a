package org.anvilshed.core.placement

import kotlin.time.Duration
import kotlin.time.Duration.Companion.ZERO

/**
 * Learns with which time limit callers start a kind of request, to tell how long ago a returning one started.
 *
 * A caller that was refused sends what is left of its limit with the next attempt, while its goal counts from the first
 * one. The limit that a third of the requests or more carry is taken as the usual one; if there is none, nothing is
 * concluded. Not thread-safe.
 */
public class TimeLimitEstimator {
    private var usual = ZERO
    private var support = 0.0

    /** Takes over the time limit of a request and returns how long ago its caller probably started. */
    public fun observe(limit: Duration): Duration {
        val isUsual = limit >= usual * (1 - TOLERANCE) && limit <= usual * (1 + TOLERANCE)
        support = (if (isUsual) support + 1 else support - OPPOSITION).coerceAtMost(LARGEST_SUPPORT)
        if (support < 0) {
            usual = limit
            support = 0.0
        }
        return if (support >= TRUSTED_SUPPORT && !isUsual && limit < usual) usual - limit else ZERO
    }

    private companion object {
        /** Half a vote against for each vote for makes a third of the requests enough. */
        const val OPPOSITION = 0.5
        const val TOLERANCE = 0.02
        const val TRUSTED_SUPPORT = 10.0
        const val LARGEST_SUPPORT = 100.0
    }
}
