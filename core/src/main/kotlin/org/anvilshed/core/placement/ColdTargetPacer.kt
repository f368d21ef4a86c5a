package org.anvilshed.core.placement

import org.anvilshed.core.MonotonicTime
import org.anvilshed.core.membership.selectHighest
import kotlin.time.Duration.Companion.seconds

/**
 * Paces the requests that this VM sends to one cold target.
 *
 * The rate that a cold target tolerates applies to the requests of all VMs together. A few VMs, chosen by rendezvous
 * hashing, divide this rate among themselves. Each of them sends at an even pace and can't save up requests for a
 * burst. If all VMs choose the same senders, the target gets at most the tolerated rate and one more request of each
 * sender in any second. Not thread-safe.
 */
public class ColdTargetPacer {
    private var nextAt = MonotonicTime(Long.MIN_VALUE)

    /**
     * Takes permission to send one request at [now] and returns whether it was available.
     *
     * The caller checks with [isSender] that this VM is one of the senders.
     *
     * @param ratePerSecond requests per second that the target tolerates from all VMs together.
     * @param senders number of VMs that divide the rate.
     */
    public fun tryTake(ratePerSecond: Double, senders: Int, now: MonotonicTime): Boolean {
        if (!isAvailable(now)) return false
        nextAt = now + 1.seconds * (senders / (ratePerSecond * RATE_FACTOR))
        return true
    }

    /** Returns whether a sender may send a request at [now]. */
    public fun isAvailable(now: MonotonicTime): Boolean = now >= nextAt

    public companion object {
        /** Fraction of the tolerated rate that is used, since requests that were sent evenly may arrive together. */
        private const val RATE_FACTOR = 0.8

        /**
         * Returns how many of [members] VMs may send to a cold target so that one more request of each stays in the
         * bound of `ratePerSecond * overshoot + slack` requests in any second.
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
