package org.anvilshed.core.placement

import org.anvilshed.core.MonotonicTime
import kotlin.time.Duration.Companion.milliseconds

/**
 * Share of the objects that a region keeps at targets of other regions, because its own targets are too few.
 *
 * The same objects are sent away each time, so that the targets there know them. The share follows the occupancy of the
 * region's own slots, which all VMs of the region see alike. Not thread-safe.
 */
internal class RemoteObjects {
    private var share = 0.0
    private var adjustedAt: MonotonicTime? = null

    /** Whether the object with the hash [objectHash] is among those that are kept elsewhere. */
    fun contains(objectHash: Int): Boolean = Math.floorMod(objectHash * SPREAD_FACTOR, HASH_RANGE) < share * HASH_RANGE

    /** Adjusts the share at [now] to the [occupancy] of the own slots. */
    fun adjust(occupancy: Double, now: MonotonicTime) {
        val last = adjustedAt
        if (last != null && now - last < ADJUSTMENT_PERIOD) return
        adjustedAt = now
        if (occupancy > HIGH_OCCUPANCY) share = (share + RISE).coerceAtMost(LARGEST_SHARE)
        if (occupancy < LOW_OCCUPANCY) share = (share - FALL).coerceAtLeast(0.0)
    }

    private companion object {
        const val HASH_RANGE = 1024

        /** Multiplier of Fibonacci hashing: spreads hashes of similar keys. */
        const val SPREAD_FACTOR = -1640531527
        val ADJUSTMENT_PERIOD = 100.milliseconds

        /** Slots that are nearly always taken mean that requests wait. */
        const val HIGH_OCCUPANCY = 0.9
        const val LOW_OCCUPANCY = 0.65

        /** Five seconds from none to a quarter: slower than the bursts that a queue evens out. */
        const val RISE = 0.005
        const val FALL = 0.0025
        const val LARGEST_SHARE = 0.7
    }
}
