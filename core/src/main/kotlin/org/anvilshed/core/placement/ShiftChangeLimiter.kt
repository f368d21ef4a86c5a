package org.anvilshed.core.placement

import org.anvilshed.core.MonotonicTime
import org.anvilshed.core.RegionName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Length of the windows between which the share of moved requests is compared. */
public val SHIFT_WINDOW: Duration = 2.seconds

/**
 * Keeps the share of this VM's requests that run in another region within a band around the share of a window ago.
 *
 * If every VM keeps its own requests within the band, so does the sum of a region. Shares are judged by the requests
 * that were sent, so refused ones do not count. Not thread-safe.
 *
 * @param maximumShift largest change of the share between two successive windows.
 * @param ownRegion region of this VM; the share that leaves it for all others together is kept within the band as well.
 */
public class ShiftChangeLimiter(private val maximumShift: Double, private val ownRegion: RegionName) {
    private val counters = HashMap<RegionName, WindowCounter>()
    private val total = WindowCounter(SHIFT_WINDOW * 2, 2 * HALF)

    /** Records that a request was sent to a target in [region]. */
    public fun recordSent(region: RegionName, now: MonotonicTime) {
        total.add(now)
        counters.getOrPut(region) { WindowCounter(SHIFT_WINDOW * 2, 2 * HALF) }.add(now)
    }

    /**
     * Returns whether one more request sent to the remote [region] keeps its share within the band.
     *
     * @param isForced whether the own region lost targets, so that its requests have to move or are refused; the cap is
     *   meant for changes of traffic and config, and such a move is only kept from happening all at once.
     */
    public fun allows(region: RegionName, isForced: Boolean, now: MonotonicTime): Boolean {
        val step = if (isForced) FORCED_STEP else maximumShift * SAFETY_SHARE
        return isWithin(step, now) { it == region } && isWithin(step, now) { it != ownRegion }
    }

    /** Whether one more request to the regions of [isCounted] keeps their share at most [step] over the former one. */
    private fun isWithin(step: Double, now: MonotonicTime, isCounted: (RegionName) -> Boolean): Boolean {
        val recentTotal = total.countBetween(now, 0, HALF - 1)
        val recent = counters.filterKeys(isCounted).values.sumOf { it.countBetween(now, 0, HALF - 1) }
        return (recent + 1).toDouble() / (recentTotal + 1) <= formerShare(now, isCounted) + step
    }

    /** Returns whether the share of the remote [region] fell so far that the next request should be sent there. */
    public fun demands(region: RegionName, now: MonotonicTime): Boolean {
        val recentTotal = total.countBetween(now, 0, HALF - 1)
        if (recentTotal < SMALLEST_SAMPLE) return false
        val recent = counters[region]?.countBetween(now, 0, HALF - 1) ?: 0
        return recent.toDouble() / recentTotal < formerShare(now) { it == region } - maximumShift * SAFETY_SHARE
    }

    /** Regions to which requests were sent within the last two windows. */
    public val regions: Set<RegionName>
        get() = counters.keys

    /** Share of a window ago; with few requests it is drawn towards [FIRST_SHARE]. */
    private fun formerShare(now: MonotonicTime, isCounted: (RegionName) -> Boolean): Double {
        val formerTotal = total.countBetween(now, HALF, 2 * HALF - 1)
        val former = counters.filterKeys(isCounted).values.sumOf { it.countBetween(now, HALF, 2 * HALF - 1) }
        return (former + FIRST_SHARE * FIRST_SHARE_WEIGHT) / (formerTotal + FIRST_SHARE_WEIGHT)
    }

    private companion object {
        /** Buckets of one of the two windows that are compared. */
        const val HALF = 20

        /** Smaller samples say nothing about a share. */
        const val SMALLEST_SAMPLE = 20

        /** Share that may leave the region at once while nothing was sent before that a change could be measured by. */
        const val FIRST_SHARE = 0.3

        /** Requests that [FIRST_SHARE] counts for: VMs that send only some ten in a window are bound as well. */
        const val FIRST_SHARE_WEIGHT = 2.0
        const val FORCED_STEP = 0.5

        /** The rule is judged on the sum of a region with windows at any offset. */
        const val SAFETY_SHARE = 0.6
    }
}
