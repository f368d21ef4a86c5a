package org.anvilshed.core.seats

import java.util.BitSet

/**
 * Immutable set of shares of a scope that is divided into [size] shares.
 *
 * Sets of different sizes can be combined if one size is a multiple of the other: each share of the coarser division
 * is replaced by the shares of the finer one that make up the same part of the scope.
 */
public class ShareSet private constructor(public val size: Int, private val bits: BitSet) {
    /** Number of shares in the set. */
    public val count: Int get() = bits.cardinality()

    /** Part of the scope that the shares of the set make up, from 0 to 1. */
    public val fraction: Double get() = if (size == 0) 0.0 else count.toDouble() / size

    public fun isEmpty(): Boolean = bits.isEmpty

    public operator fun contains(share: Int): Boolean = bits[share]

    /**
     * Returns whether the set contains the share at [position].
     *
     * @param position place in the scope in units of 1/2^32 of it, from 0 to 2^32 - 1; it does not depend on [size].
     */
    public fun containsPosition(position: Long): Boolean =
        size > 0 && bits[(position * size ushr POSITION_BITS).toInt()]

    public operator fun plus(other: ShareSet): ShareSet = combined(other, BitSet::or)

    public operator fun minus(other: ShareSet): ShareSet = combined(other, BitSet::andNot)

    public infix fun intersect(other: ShareSet): ShareSet = combined(other, BitSet::and)

    /** Returns the shares in ascending order. */
    public fun toList(): List<Int> = bits.stream().toArray().asList()

    /**
     * Returns the same part of the scope for a division into [newSize] shares.
     *
     * @throws IllegalArgumentException if [newSize] is not a multiple of [size] and the set is not empty.
     */
    public fun scaledTo(newSize: Int): ShareSet {
        if (newSize == size) return this
        if (isEmpty()) return none(newSize)
        require(newSize % size == 0) { "$newSize shares are not a multiple of $size shares" }
        val factor = newSize / size
        return of(newSize, toList().flatMap { share -> share * factor until (share + 1) * factor })
    }

    private inline fun combined(other: ShareSet, operation: BitSet.(BitSet) -> Unit): ShareSet {
        val common = maxOf(size, other.size)
        val result = scaledTo(common).bits.clone() as BitSet
        result.operation(other.scaledTo(common).bits)
        return ShareSet(common, result)
    }

    override fun equals(other: Any?): Boolean = other is ShareSet && size == other.size && bits == other.bits

    override fun hashCode(): Int = bits.hashCode()

    override fun toString(): String = "$bits/$size"

    public companion object {
        private const val POSITION_BITS = 32

        /** Returns an empty set of a scope with [size] shares. */
        public fun none(size: Int): ShareSet = ShareSet(size, BitSet())

        /** Returns a set of [shares] of a scope with [size] shares. */
        public fun of(size: Int, shares: Iterable<Int>): ShareSet =
            ShareSet(size, BitSet(size).apply { shares.forEach { set(it) } })
    }
}
