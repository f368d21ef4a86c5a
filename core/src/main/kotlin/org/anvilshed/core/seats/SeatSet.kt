package org.anvilshed.core.seats

import java.util.BitSet

/**
 * Immutable set of seats of a scope that is divided into [size] seats.
 *
 * Sets of different sizes can be combined if one size is a multiple of the other: a seat of the smaller division
 * then stands for several seats of the larger one, so the fraction of the scope stays the same.
 */
public class SeatSet private constructor(public val size: Int, private val bits: BitSet) {
    /** Number of seats in the set. */
    public val count: Int get() = bits.cardinality()

    /** Part of the scope that the seats of the set make up, from 0 to 1. */
    public val fraction: Double get() = if (size == 0) 0.0 else count.toDouble() / size

    public fun isEmpty(): Boolean = bits.isEmpty

    public operator fun contains(seat: Int): Boolean = bits[seat]

    /**
     * Returns whether the set contains the seat at [position].
     *
     * @param position place in the scope as a fraction of 2^32, from 0 until 2^32; it does not depend on [size].
     */
    public fun containsPosition(position: Long): Boolean =
        size > 0 && bits[(position * size ushr POSITION_BITS).toInt()]

    public operator fun plus(other: SeatSet): SeatSet = combined(other, BitSet::or)

    public operator fun minus(other: SeatSet): SeatSet = combined(other, BitSet::andNot)

    public infix fun intersect(other: SeatSet): SeatSet = combined(other, BitSet::and)

    /** Returns the seats in ascending order. */
    public fun toList(): List<Int> = bits.stream().toArray().asList()

    /**
     * Returns the same part of the scope for a division into [newSize] seats.
     *
     * @throws IllegalArgumentException if [newSize] is not a multiple of [size].
     */
    public fun scaledTo(newSize: Int): SeatSet {
        if (newSize == size) return this
        if (isEmpty()) return none(newSize)
        require(newSize % size == 0) { "$newSize seats are not a multiple of $size seats" }
        val factor = newSize / size
        return of(newSize, toList().flatMap { seat -> seat * factor until (seat + 1) * factor })
    }

    private inline fun combined(other: SeatSet, operation: BitSet.(BitSet) -> Unit): SeatSet {
        val common = maxOf(size, other.size)
        val result = scaledTo(common).bits.clone() as BitSet
        result.operation(other.scaledTo(common).bits)
        return SeatSet(common, result)
    }

    override fun equals(other: Any?): Boolean = other is SeatSet && size == other.size && bits == other.bits

    override fun hashCode(): Int = bits.hashCode()

    override fun toString(): String = "$bits/$size"

    public companion object {
        private const val POSITION_BITS = 32

        /** Returns an empty set of a scope with [size] seats. */
        public fun none(size: Int): SeatSet = SeatSet(size, BitSet())

        /** Returns a set of [seats] of a scope with [size] seats. */
        public fun of(size: Int, seats: Iterable<Int>): SeatSet =
            SeatSet(size, BitSet(size).apply { seats.forEach { set(it) } })
    }
}
