package org.anvilshed.core.seats

import org.anvilshed.core.MonotonicTime
import kotlin.time.Duration

/**
 * Shares that this process may use, as an immutable snapshot for the request path; see [ShareHolder.usable].
 *
 * @property shares shares that may be used until [validUntil].
 * @property validUntil time on this process's own clock from which on the shares must not be used.
 * @property longestDeadline largest remaining deadline that work sent to a target may have.
 */
public data class UsableShares(
    public val shares: ShareSet,
    public val validUntil: MonotonicTime,
    public val longestDeadline: Duration,
) {
    /** Returns whether the shares may be used at [now]; checked with a fresh clock reading before each dispatch. */
    public fun isValidAt(now: MonotonicTime): Boolean = now < validUntil

    /** Returns the part of the scope, from 0 to 1, that this process may use at [now]. */
    public fun fractionAt(now: MonotonicTime): Double = if (isValidAt(now)) shares.fraction else 0.0

    public companion object {
        /** No usable shares. */
        public val NONE: UsableShares = UsableShares(ShareSet.none(0), MonotonicTime(Long.MIN_VALUE), Duration.ZERO)
    }
}
