package org.anvilshed.core.placement

import org.anvilshed.core.membership.selectHighest
import kotlin.time.Duration
import kotlin.time.DurationUnit

/**
 * Tolerance of a rate: in no span of [window] may more than `rate * window * overshoot + slack` requests arrive.
 *
 * @property overshoot factor by which the rate may be exceeded; at least 1.
 * @property slack number of requests that may arrive in addition.
 */
public data class RateTolerance(public val window: Duration, public val overshoot: Double, public val slack: Double)

/**
 * Rate of requests that one target takes from all VMs together.
 *
 * A few VMs, chosen by rendezvous hashing, are the senders of the target and divide the rate among themselves. Each of
 * them sends at an even pace and can't save up requests for a burst ([RateCredit]). If all VMs choose the same senders,
 * the target gets at most [requestsPerSecond] and one and a half more requests of each sender in any span.
 */
public data class SharedRate(public val requestsPerSecond: Double, public val tolerance: RateTolerance) {
    /** Returns how many of [members] VMs may send so that their saved credit stays within the tolerance. */
    public fun senderCount(members: Int): Int {
        val windowSeconds = tolerance.window.toDouble(DurationUnit.SECONDS)
        val spare = requestsPerSecond * windowSeconds * (tolerance.overshoot - 1) + tolerance.slack
        return (spare / SPARE_PER_SENDER).toInt().coerceIn(1, members.coerceAtLeast(1))
    }

    /**
     * Returns the part of the rate, in requests per second, for one of [senders] VMs.
     *
     * The parts follow the rates at which the senders did send, so that little is left unused by senders whose callers
     * need other targets. Part of the weight is the same for all, so that a sender that needs more can begin to send.
     * The parts of all senders add up to the rate if they know each other's rates.
     *
     * @param own rate at which this VM sent to the target recently, in requests per second.
     * @param others sum of the rates at which other VMs sent to the target recently.
     */
    public fun part(senders: Int, own: Double, others: Double): Double {
        if (requestsPerSecond == Double.POSITIVE_INFINITY) return requestsPerSecond
        val base = requestsPerSecond * EQUAL_FRACTION / senders
        return requestsPerSecond * (own + base) / (own + others + base * senders)
    }

    public companion object {
        /** More than a sender's saved credit, as VMs may briefly disagree about the senders. */
        private const val SPARE_PER_SENDER = 2

        /** Fraction of the rate that counts as used by all senders alike. */
        private const val EQUAL_FRACTION = 0.25

        /**
         * Returns the position of the VM [self], one of [members], as a sender to the target [target]; the VMs at the
         * first [senderCount] positions are the senders.
         */
        public fun senderPosition(target: String, self: String, members: Collection<String>): Int =
            selectHighest(target, members, members.size) { it }.indexOf(self)
    }
}
