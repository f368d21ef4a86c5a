package org.anvilshed.core.lookup

import java.util.concurrent.atomic.AtomicReferenceArray

/**
 * Longest-prefix-match table from 64-bit keys to small non-negative values.
 *
 * The prefixes are kept in sorted chunks of at most [MAXIMUM_CHUNK_SIZE]. Lookups take no lock. A change replaces the
 * chunk that contains the prefix and updates the enclosing prefixes of the chunks inside the prefix; the directory of
 * chunks is copied only when a chunk is split. A reader sees each chunk either as before or as after the change.
 */
internal class PrefixTable(entries: List<PrefixEntry>) {
    private class Directory(val firstKeys: LongArray, val chunks: AtomicReferenceArray<PrefixChunk>) {
        /** For each value of the first 16 bits, the index of the last chunk that begins at or before its first key. */
        private val starts = startsOf(firstKeys)

        fun indexFor(key: Long): Int {
            val slot = (key ushr SLOT_SHIFT).toInt()
            var low = starts[slot] + 1
            var high = starts[slot + 1]
            while (low <= high) {
                val middle = (low + high) ushr 1
                if (java.lang.Long.compareUnsigned(firstKeys[middle], key) <= 0) low = middle + 1 else high = middle - 1
            }
            return high
        }

        private fun startsOf(firstKeys: LongArray): IntArray {
            val result = IntArray(SLOTS + 1)
            var chunk = 0
            for (slot in 0 until SLOTS) {
                val key = slot.toLong() shl SLOT_SHIFT
                while (chunk + 1 < firstKeys.size &&
                    java.lang.Long.compareUnsigned(firstKeys[chunk + 1], key) <= 0
                ) {
                    chunk++
                }
                result[slot] = chunk
            }
            result[SLOTS] = firstKeys.size - 1
            return result
        }
    }

    private val writeLock = Any()

    @Volatile
    private var directory: Directory = buildDirectory(entries.sorted())

    /** Returns the value of the longest prefix that contains [key], or [NO_VALUE]. */
    fun find(key: Long): Int {
        val current = directory
        return current.chunks.get(current.indexFor(key)).find(key)
    }

    /** Adds [entry], or replaces the value of the equal prefix. */
    fun put(entry: PrefixEntry) {
        synchronized(writeLock) {
            val index = directory.indexFor(entry.key)
            val chunk = directory.chunks.get(index)
            val position = chunk.entries().binarySearch(entry)
            val entries = chunk.entries().toMutableList()
            if (position >= 0) entries[position] = entry else entries.add(-position - 1, entry)
            replaceChunk(index, entries, chunk.enclosing)
            updateEnclosing(index, entry) { enclosing ->
                (enclosing.filterNot { it.hasSamePrefix(entry) } + entry).sortedBy { it.length }
            }
        }
    }

    /** Removes the prefix of [entry], whatever its value; does nothing if the prefix is absent. */
    fun remove(entry: PrefixEntry) {
        synchronized(writeLock) {
            val index = directory.indexFor(entry.key)
            val chunk = directory.chunks.get(index)
            val entries = chunk.entries().filterNot { it.hasSamePrefix(entry) }
            if (entries.size == chunk.size) return
            replaceChunk(index, entries, chunk.enclosing)
            updateEnclosing(index, entry) { enclosing -> enclosing.filterNot { it.hasSamePrefix(entry) } }
        }
    }

    private fun replaceChunk(index: Int, entries: List<PrefixEntry>, enclosing: List<PrefixEntry>) {
        if (entries.size <= MAXIMUM_CHUNK_SIZE) {
            directory.chunks.set(index, PrefixChunk.of(entries, enclosing))
            return
        }
        // Equal keys stay together: a search by key alone must end in the chunk that has all prefixes with that key.
        var middle = entries.size / 2
        while (middle < entries.size && entries[middle].key == entries[middle - 1].key) middle++
        val head = entries.subList(0, middle)
        val tail = entries.subList(middle, entries.size)
        directory = if (tail.isEmpty()) directory else directory.withSplit(index, head, tail, enclosing)
        if (tail.isEmpty()) directory.chunks.set(index, PrefixChunk.of(entries, enclosing))
    }

    private fun Directory.withSplit(
        index: Int,
        head: List<PrefixEntry>,
        tail: List<PrefixEntry>,
        enclosing: List<PrefixEntry>,
    ): Directory {
        val tailKey = tail.first().key
        val tailEnclosing = (enclosing + head).filter { it.contains(tailKey) }.sortedBy { it.length }
        val newChunks = ArrayList<PrefixChunk>(chunks.length() + 1)
        for (position in 0 until chunks.length()) {
            if (position == index) {
                newChunks += PrefixChunk.of(head, enclosing)
                newChunks += PrefixChunk.of(tail, tailEnclosing)
            } else {
                newChunks += chunks.get(position)
            }
        }
        val newKeys = LongArray(newChunks.size)
        firstKeys.copyInto(newKeys, 0, 0, index + 1)
        newKeys[index + 1] = tailKey
        firstKeys.copyInto(newKeys, index + 2, index + 1, firstKeys.size)
        return Directory(newKeys, AtomicReferenceArray(newChunks.toTypedArray()))
    }

    /** Applies [change] to the enclosing prefixes of all later chunks that begin inside [entry]. */
    private fun updateEnclosing(index: Int, entry: PrefixEntry, change: (List<PrefixEntry>) -> List<PrefixEntry>) {
        val current = directory
        var later = index + 1
        while (later < current.firstKeys.size && entry.contains(current.firstKeys[later])) {
            // If this change has split the chunk, the new chunk already has the entry as an enclosing prefix; adding it
            // again is harmless, since an equal prefix is replaced.
            if (current.firstKeys[later] != entry.key) {
                val chunk = current.chunks.get(later)
                current.chunks.set(later, chunk.withEnclosing(change(chunk.enclosing)))
            }
            later++
        }
    }

    private fun PrefixEntry.hasSamePrefix(other: PrefixEntry): Boolean = key == other.key && length == other.length

    internal companion object {
        const val NO_VALUE: Int = -1

        /** A change copies at most this many prefixes; larger chunks save little memory and make changes slower. */
        const val MAXIMUM_CHUNK_SIZE: Int = 512

        private const val SLOT_SHIFT = 48
        private const val SLOTS = 1 shl 16
        private const val INITIAL_CHUNK_SIZE = MAXIMUM_CHUNK_SIZE / 2

        private fun buildDirectory(sorted: List<PrefixEntry>): Directory {
            val chunks = ArrayList<PrefixChunk>()
            val firstKeys = ArrayList<Long>()
            val enclosing = ArrayList<PrefixEntry>()
            var start = 0
            while (start < sorted.size) {
                var end = minOf(start + INITIAL_CHUNK_SIZE, sorted.size)
                while (end < sorted.size && sorted[end].key == sorted[end - 1].key) end++
                val part = sorted.subList(start, end)
                val firstKey = part.first().key
                enclosing.removeAll { !it.contains(firstKey) }
                chunks += PrefixChunk.of(part, enclosing.toList())
                firstKeys += firstKey
                part.filterTo(enclosing) { end < sorted.size && it.contains(sorted[end].key) }
                start = end
            }
            if (chunks.isEmpty()) {
                chunks += PrefixChunk.of(emptyList(), emptyList())
                firstKeys += 0L
            }
            return Directory(firstKeys.toLongArray(), AtomicReferenceArray(chunks.toTypedArray()))
        }
    }
}
