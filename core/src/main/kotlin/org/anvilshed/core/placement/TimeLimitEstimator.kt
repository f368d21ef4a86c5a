package org.anvilshed.core.placement

import kotlin.time.Duration
import kotlin.time.Duration.Companion.ZERO

/**
 * Learns the time limit with which callers start requests of one class, to estimate how long ago a caller that tries
 * again made its first attempt.
 *
 * A caller that was refused sends the rest of its time limit with the next attempt, while its latency objective counts
 * from the first one. A limit that at least a third of the requests have is taken as the typical one. If there is no
 * such limit, every request is taken as a first attempt. Not thread-safe.
 */
public class TimeLimitEstimator {
    private var typical = ZERO
    private var support = 0.0

    /** Records the time [limit] of a request and returns how long ago its caller probably made the first attempt. */
    public fun observe(limit: Duration): Duration {
        val isTypical = limit >= typical * (1 - TOLERANCE) && limit <= typical * (1 + TOLERANCE)
        support = (if (isTypical) support + 1 else support - MISMATCH_WEIGHT).coerceAtMost(MAXIMUM_SUPPORT)
        if (support < 0) {
            typical = limit
            support = 0.0
        }
        return if (support >= MINIMUM_SUPPORT && !isTypical && limit < typical) typical - limit else ZERO
    }

    private companion object {
        /** A differing limit counts half as much as a matching one, so a third of the requests suffices for a limit. */
        const val MISMATCH_WEIGHT = 0.5

        /** Largest relative difference between limits that count as equal. */
        const val TOLERANCE = 0.02
        const val MINIMUM_SUPPORT = 10.0
        const val MAXIMUM_SUPPORT = 100.0
    }
}
