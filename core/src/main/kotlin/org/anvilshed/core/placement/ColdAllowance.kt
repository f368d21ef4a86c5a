package org.anvilshed.core.placement

import org.anvilshed.core.MonotonicTime
import org.anvilshed.core.membership.selectHighest
import kotlin.time.Duration.Companion.seconds

/**
 * Requests that this VM may send to one cold target.
 *
 * The rate that a cold target tolerates is a sum over all VMs. A few VMs, chosen by rendezvous hashing, share it; each
 * may send at an even pace and none saves up a burst. If all choose the same senders, a target gets at most the
 * tolerated rate and one request of each sender in any second. Not thread-safe.
 */
public class ColdAllowance {
    private var nextAt = MonotonicTime(Long.MIN_VALUE)

    /**
     * Takes one request at [now] if this VM is one of the senders.
     *
     * @param ratePerSecond requests a second that the target tolerates from all VMs.
     */
    public fun tryTake(ratePerSecond: Double, senders: Int, now: MonotonicTime): Boolean {
        if (!isAvailable(now)) return false
        nextAt = now + 1.seconds * (senders / (ratePerSecond * RATE_SHARE))
        return true
    }

    /** Whether a request may be sent at [now] by a sender. */
    public fun isAvailable(now: MonotonicTime): Boolean = now >= nextAt

    public companion object {
        /** Leaves room for arrivals that were sent evenly and arrive together. */
        private const val RATE_SHARE = 0.8

        /**
         * Returns how many VMs may send to a cold target so that one extra request of each stays within the bound.
         */
        public fun senderCount(ratePerSecond: Double, overshoot: Double, slack: Double, members: Int): Int {
            val spare = ratePerSecond * (overshoot - 1) + slack
            return (spare / 2).toInt().coerceIn(1, members.coerceAtLeast(1))
        }

        /** Returns whether the VM [self] is one of the [count] senders to the target [target]. */
        public fun isSender(target: String, self: String, members: Collection<String>, count: Int): Boolean =
            selectHighest(target, members, count) { it }.contains(self)
    }
}
