package org.anvilshed.core.routing

import org.anvilshed.core.MonotonicTime
import java.util.concurrent.atomic.AtomicLong
import java.util.concurrent.atomic.AtomicLongArray
import kotlin.time.Duration.Companion.milliseconds

private const val NEVER = Long.MIN_VALUE

/**
 * Targets or peers of a group that may have free capacity, one bit each, so that a search over many full ones reads
 * only a few words.
 *
 * A search clears the bit of a candidate that it finds full. The bit is set again when work at the candidate ends or a
 * report of it arrives. All bits are set again every 500 ms, since capacity also becomes free by time alone: by slow
 * start, the end of an ejection, a probe of a silent peer, or shares that moved to this VM. Thread-safe and lock-free.
 */
internal class CandidateSet(private val size: Int) {
    private val words = AtomicLongArray((size + Long.SIZE_BITS - 1) / Long.SIZE_BITS)
    private val refreshedAt = AtomicLong(NEVER)

    /** Sets all bits if they were last set at least 500 ms before [now]. */
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

/** Position of a target or peer in the [CandidateSet] of the latest group that was built with it. */
internal class CandidatePosition(private val candidates: CandidateSet, private val index: Int) {
    fun add() = candidates.add(index)
}
