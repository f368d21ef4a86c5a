package org.anvilshed.core.lookup

private const val NO_PARENT: Short = -1

/**
 * Immutable sequence of consecutive prefixes of a [PrefixTable], ordered by key (unsigned) and then by length.
 *
 * @property parents for each prefix the index in this chunk of the next shorter prefix that contains it, or -1.
 * @property enclosing prefixes of earlier chunks that contain the start of this chunk, the shortest first.
 */
internal class PrefixChunk private constructor(
    val keys: LongArray,
    val lengths: ByteArray,
    val values: ShortArray,
    private val parents: ShortArray,
    val enclosing: List<PrefixEntry>,
) {
    val size: Int get() = keys.size

    fun entry(index: Int): PrefixEntry = PrefixEntry(keys[index], lengths[index].toInt(), values[index])

    fun entries(): List<PrefixEntry> = List(size, ::entry)

    /** Returns the value of the longest prefix that contains [key], or [PrefixTable.NO_VALUE]. */
    fun find(key: Long): Int {
        var index = lastIndexAtOrBefore(key)
        while (index >= 0) {
            if (prefixContains(keys[index], lengths[index].toInt(), key)) return values[index].toInt()
            index = parents[index].toInt()
        }
        return findInEnclosing(key)
    }

    private fun findInEnclosing(key: Long): Int {
        for (index in enclosing.indices.reversed()) {
            val prefix = enclosing[index]
            if (prefixContains(prefix.key, prefix.length, key)) return prefix.value.toInt()
        }
        return PrefixTable.NO_VALUE
    }

    private fun lastIndexAtOrBefore(key: Long): Int {
        var low = 0
        var high = size - 1
        while (low <= high) {
            val middle = (low + high) ushr 1
            if (java.lang.Long.compareUnsigned(keys[middle], key) <= 0) low = middle + 1 else high = middle - 1
        }
        return high
    }

    fun withEnclosing(newEnclosing: List<PrefixEntry>): PrefixChunk =
        PrefixChunk(keys, lengths, values, parents, newEnclosing)

    companion object {
        fun of(entries: List<PrefixEntry>, enclosing: List<PrefixEntry>): PrefixChunk = PrefixChunk(
            keys = LongArray(entries.size) { entries[it].key },
            lengths = ByteArray(entries.size) { entries[it].length.toByte() },
            values = ShortArray(entries.size) { entries[it].value },
            parents = parentsOf(entries),
            enclosing = enclosing,
        )

        private fun parentsOf(entries: List<PrefixEntry>): ShortArray {
            val parents = ShortArray(entries.size)
            for (index in entries.indices) {
                var candidate = index - 1
                while (candidate >= 0 && !entries[candidate].contains(entries[index].key)) {
                    candidate = parents[candidate].toInt()
                }
                parents[index] = if (candidate >= 0) candidate.toShort() else NO_PARENT
            }
            return parents
        }
    }
}

/** A prefix and its value. */
internal data class PrefixEntry(val key: Long, val length: Int, val value: Short) : Comparable<PrefixEntry> {
    fun contains(address: Long): Boolean = prefixContains(key, length, address)

    override fun compareTo(other: PrefixEntry): Int {
        val byKey = java.lang.Long.compareUnsigned(key, other.key)
        return if (byKey != 0) byKey else length.compareTo(other.length)
    }
}
