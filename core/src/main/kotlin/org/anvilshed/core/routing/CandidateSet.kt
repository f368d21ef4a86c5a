package org.anvilshed.core.routing

import org.anvilshed.core.MonotonicTime
import java.util.concurrent.atomic.AtomicLong
import java.util.concurrent.atomic.AtomicLongArray
import kotlin.time.Duration.Companion.milliseconds

private const val NEVER = Long.MIN_VALUE

/**
 * Places of a group that may have room, one bit for each, so that a search over many full places reads a few words.
 *
 * A bit is cleared by a search that finds the place full and is set again when work at the place ends or a report
 * arrives. All bits are set again every 500 ms, since room also appears with time alone: slow start, the end of an
 * ejection, a probe of a silent peer, seats that moved here. Thread-safe and lock-free.
 */
internal class CandidateSet(private val size: Int) {
    private val words = AtomicLongArray((size + Long.SIZE_BITS - 1) / Long.SIZE_BITS)
    private val refreshedAt = AtomicLong(NEVER)

    /** Sets all bits if the last time is 500 ms ago. */
    fun refresh(now: MonotonicTime) {
        val last = refreshedAt.get()
        if (last != NEVER && now.nanoseconds - last < REFRESH_NANOSECONDS) return
        if (!refreshedAt.compareAndSet(last, now.nanoseconds)) return
        for (word in 0 until words.length()) {
            val bits = minOf(size - word * Long.SIZE_BITS, Long.SIZE_BITS)
            words.set(word, -1L ushr (Long.SIZE_BITS - bits))
        }
    }

    fun add(index: Int) {
        val word = index / Long.SIZE_BITS
        val bit = 1L shl index
        if (words.get(word) and bit == 0L) words.getAndUpdate(word) { it or bit }
    }

    fun remove(index: Int) {
        val bit = 1L shl index
        words.getAndUpdate(index / Long.SIZE_BITS) { it and bit.inv() }
    }

    /** Returns the first set index from [from] on, or -1 if there is none. */
    fun nextFrom(from: Int): Int {
        var word = from / Long.SIZE_BITS
        if (word >= words.length()) return -1
        var bits = words.get(word) and (-1L shl from)
        while (bits == 0L) {
            word += 1
            if (word == words.length()) return -1
            bits = words.get(word)
        }
        return word * Long.SIZE_BITS + bits.countTrailingZeroBits()
    }

    private companion object {
        val REFRESH_NANOSECONDS = 500.milliseconds.inWholeNanoseconds
    }
}

/** Position of a place in the [CandidateSet] of the group that was built last. */
internal class CandidatePosition(private val candidates: CandidateSet, private val index: Int) {
    fun add() = candidates.add(index)
}
