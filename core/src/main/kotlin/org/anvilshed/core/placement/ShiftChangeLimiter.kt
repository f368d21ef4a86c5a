package org.anvilshed.core.placement

import org.anvilshed.core.MonotonicTime
import org.anvilshed.core.RegionName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Length of the windows between which the fraction of requests that other regions serve is compared. */
public val SHIFT_WINDOW: Duration = 2.seconds

/**
 * Limits how fast the fraction of this VM's requests that other regions serve may change.
 *
 * The fraction may differ from that of the previous window by a limited amount. If every VM keeps this limit for its
 * own requests, the requests of a region keep it together. Only requests that were sent to a target count, so refused
 * ones don't. Not thread-safe.
 *
 * @param maximumShift largest change of the fraction, from 0 to 1, between two successive windows of [SHIFT_WINDOW].
 * @param ownRegion region of this VM; the fraction that all other regions serve together is limited as well.
 */
public class ShiftChangeLimiter(private val maximumShift: () -> Double, private val ownRegion: RegionName) {
    private val counters = HashMap<RegionName, SlidingWindowCounter>()
    private val total = SlidingWindowCounter(SHIFT_WINDOW * 2, 2 * WINDOW_BUCKETS)

    /** Records that a request was sent to a target in [region] at [now]. */
    public fun recordSent(region: RegionName, now: MonotonicTime) {
        total.add(now)
        counters.getOrPut(region) { SlidingWindowCounter(SHIFT_WINDOW * 2, 2 * WINDOW_BUCKETS) }.add(now)
    }

    /**
     * Returns whether the limit allows one more request to the remote [region].
     *
     * @param isForced whether the VM's own region lost targets, so that its requests are served by other regions or
     *   refused. The normal limit is meant for changes of traffic and configuration; a larger limit then only prevents
     *   that all requests move at once.
     */
    public fun allows(region: RegionName, isForced: Boolean, now: MonotonicTime): Boolean {
        val step = if (isForced) FORCED_STEP else maximumShift() * SAFETY_FACTOR
        return isWithin(step, now) { it == region } && isWithin(step, now) { it != ownRegion }
    }

    /** Returns whether one more request to the regions of [isCounted] raises their fraction by [step] or less. */
    private fun isWithin(step: Double, now: MonotonicTime, isCounted: (RegionName) -> Boolean): Boolean {
        val recentTotal = total.countBetween(now, 0, WINDOW_BUCKETS - 1)
        val recent = counters.filterKeys(isCounted).values.sumOf { it.countBetween(now, 0, WINDOW_BUCKETS - 1) }
        return (recent + 1).toDouble() / (recentTotal + 1) <= previousFraction(now, isCounted) + step
    }

    /** Returns whether the fraction of the remote [region] fell so fast that the next request should be sent there. */
    public fun requires(region: RegionName, now: MonotonicTime): Boolean {
        val recentTotal = total.countBetween(now, 0, WINDOW_BUCKETS - 1)
        if (recentTotal < MINIMUM_SAMPLE) return false
        val recent = counters[region]?.countBetween(now, 0, WINDOW_BUCKETS - 1) ?: 0
        return recent.toDouble() / recentTotal < previousFraction(now) { it == region } - maximumShift() * SAFETY_FACTOR
    }

    /** Regions to which requests were sent at any time. */
    public val regions: Set<RegionName>
        get() = counters.keys

    /** Returns the fraction in the previous window; the fewer its requests, the closer to [INITIAL_FRACTION]. */
    private fun previousFraction(now: MonotonicTime, isCounted: (RegionName) -> Boolean): Double {
        val previousTotal = total.countBetween(now, WINDOW_BUCKETS, 2 * WINDOW_BUCKETS - 1)
        val previous = counters.filterKeys(isCounted).values
            .sumOf { it.countBetween(now, WINDOW_BUCKETS, 2 * WINDOW_BUCKETS - 1) }
        return (previous + INITIAL_FRACTION * INITIAL_FRACTION_WEIGHT) / (previousTotal + INITIAL_FRACTION_WEIGHT)
    }

    private companion object {
        /** Number of buckets of each of the two windows that are compared. */
        const val WINDOW_BUCKETS = 20

        /** Fewer requests than this in a window give no meaningful fraction. */
        const val MINIMUM_SAMPLE = 20

        /** Fraction that is assumed for a previous window without requests, to which a change can't be compared. */
        const val INITIAL_FRACTION = 0.3

        /** Number of requests as which [INITIAL_FRACTION] counts, so low that VMs with ten in a window are limited. */
        const val INITIAL_FRACTION_WEIGHT = 2.0

        /** Largest change of the fraction after the VM's own region lost targets. */
        const val FORCED_STEP = 0.5

        /** Reduces the limit, which the requests of a whole region must keep in windows that begin at any time. */
        const val SAFETY_FACTOR = 0.6
    }
}
