package org.anvilshed.core.placement

import org.anvilshed.core.MonotonicTime
import kotlin.time.Duration.Companion.milliseconds

/**
 * Objects that targets of other regions serve, because the targets of this VM's region have too few slots.
 *
 * Requests for the same objects are sent to other regions each time, so that the targets there have them cached. The
 * fraction of these objects follows the occupancy of the region's own slots, which all VMs of the region estimate
 * alike. Not thread-safe.
 */
internal class RemoteObjects {
    private var fraction = 0.0
    private var adjustedAt: MonotonicTime? = null

    /** Returns whether other regions serve the object with the hash [objectHash]. */
    fun contains(objectHash: Int): Boolean =
        Math.floorMod(objectHash * FIBONACCI_MULTIPLIER, HASH_RANGE) < fraction * HASH_RANGE

    /**
     * Adjusts the fraction at [now] to the occupancy of the region's slots, where 1 means that all are occupied;
     * [occupancyAt] is called only if an adjustment is due.
     */
    fun adjust(now: MonotonicTime, occupancyAt: (MonotonicTime) -> Double) {
        val last = adjustedAt
        if (last != null && now - last < ADJUSTMENT_PERIOD) return
        adjustedAt = now
        val occupancy = occupancyAt(now)
        if (occupancy > HIGH_OCCUPANCY) fraction = (fraction + INCREASE).coerceAtMost(MAXIMUM_FRACTION)
        if (occupancy < LOW_OCCUPANCY) fraction = (fraction - DECREASE).coerceAtLeast(0.0)
    }

    private companion object {
        const val HASH_RANGE = 1024

        /** Multiplier of Fibonacci hashing, which spreads the hashes of similar keys. */
        const val FIBONACCI_MULTIPLIER = -1640531527
        val ADJUSTMENT_PERIOD = 100.milliseconds

        /** At a higher occupancy the slots are nearly always occupied, so that requests wait. */
        const val HIGH_OCCUPANCY = 0.9
        const val LOW_OCCUPANCY = 0.65

        /** From 0 to a quarter in five seconds: bursts that are shorter are left to the queue. */
        const val INCREASE = 0.005
        const val DECREASE = 0.0025
        const val MAXIMUM_FRACTION = 0.7
    }
}
