package org.anvilshed.core.placement

import org.anvilshed.core.MonotonicTime
import kotlin.time.Duration

/**
 * Counts the events of a sliding window in buckets of equal length. Not thread-safe.
 *
 * @param window length of the window.
 * @param buckets number of buckets in the window.
 */
internal class SlidingWindowCounter(window: Duration, private val buckets: Int = DEFAULT_BUCKETS) {
    private val bucketNanoseconds = (window.inWholeNanoseconds / buckets).coerceAtLeast(1)
    private val counts = IntArray(buckets + 1)
    private val bucketNumbers = LongArray(buckets + 1) { Long.MIN_VALUE }

    /** Counts one event at [now]. */
    fun add(now: MonotonicTime) {
        val number = Math.floorDiv(now.nanoseconds, bucketNanoseconds)
        val index = Math.floorMod(number, counts.size.toLong()).toInt()
        if (bucketNumbers[index] != number) {
            bucketNumbers[index] = number
            counts[index] = 0
        }
        counts[index]++
    }

    /** Returns the number of events in the window that ends at [now]; its oldest bucket counts as a whole. */
    fun count(now: MonotonicTime): Int = countBetween(now, 0, buckets)

    /** Returns the number of events in the buckets that are [newest] to [oldest] buckets old, both included. */
    fun countBetween(now: MonotonicTime, newest: Int, oldest: Int): Int {
        val number = Math.floorDiv(now.nanoseconds, bucketNanoseconds)
        var sum = 0
        for (index in counts.indices) {
            if (number - bucketNumbers[index] in newest.toLong()..oldest.toLong()) sum += counts[index]
        }
        return sum
    }

    private companion object {
        const val DEFAULT_BUCKETS = 10
    }
}
