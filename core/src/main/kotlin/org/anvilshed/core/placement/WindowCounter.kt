package org.anvilshed.core.placement

import org.anvilshed.core.MonotonicTime
import kotlin.time.Duration

/** Counts events of a sliding [window] in [buckets] of equal length. Not thread-safe. */
internal class WindowCounter(window: Duration, private val buckets: Int = DEFAULT_BUCKETS) {
    private val bucketNanoseconds = (window.inWholeNanoseconds / buckets).coerceAtLeast(1)
    private val counts = IntArray(buckets + 1)
    private val numbers = LongArray(buckets + 1) { Long.MIN_VALUE }

    fun add(now: MonotonicTime) {
        val number = Math.floorDiv(now.nanoseconds, bucketNanoseconds)
        val index = Math.floorMod(number, counts.size.toLong()).toInt()
        if (numbers[index] != number) {
            numbers[index] = number
            counts[index] = 0
        }
        counts[index]++
    }

    /** Returns the events of the window that ends at [now], and those of its oldest bucket as a whole. */
    fun count(now: MonotonicTime): Int = countBetween(now, 0, buckets)

    /** Returns the events of the buckets that are [newest] to [oldest] buckets old, both included. */
    fun countBetween(now: MonotonicTime, newest: Int, oldest: Int): Int {
        val number = Math.floorDiv(now.nanoseconds, bucketNanoseconds)
        var sum = 0
        for (index in counts.indices) {
            if (number - numbers[index] in newest.toLong()..oldest.toLong()) sum += counts[index]
        }
        return sum
    }

    private companion object {
        const val DEFAULT_BUCKETS = 10
    }
}
