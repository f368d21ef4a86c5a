package org.anvilshed.core.lookup

import org.anvilshed.core.RegionName
import org.anvilshed.core.ZoneName
import kotlin.math.ln

/**
 * Selects the entry VMs that a lookup returns to a caller. Instances are immutable.
 *
 * Callers are distributed by weighted rendezvous hashing on a key of the caller: each caller keeps its order of entry
 * VMs as long as the candidates are unchanged, and the loss of one VM moves only the callers of that VM.
 *
 * ```
 * val selector = EntrySelector(candidates)
 * selector.select(callerKey = 7L, region = RegionName("nbo"), zone = null, count = 3)
 * ```
 */
public class EntrySelector(candidates: List<EntryCandidate>) {
    private val candidates: Array<EntryCandidate> = candidates.toTypedArray()
    private val allIndexes = IntArray(candidates.size) { it }
    private val indexesByRegion =
        candidates.indices.groupBy { candidates[it].region }.mapValues { it.value.toIntArray() }
    private val vmHashes = LongArray(candidates.size) { mix(candidates[it].vm.name.value.hashCode().toLong()) }

    init {
        candidates.forEach { require(it.weight > 0.0) { "weight of ${it.vm} is not positive: ${it.weight}" } }
    }

    /** Number of candidates. */
    public val size: Int get() = candidates.size

    /**
     * Returns up to [count] entry VMs for the caller with [callerKey], in order of preference.
     *
     * VMs of [zone] come before the other VMs of [region], which come before all other VMs. Both may be `null` for a
     * caller without a preference. The result has at most one VM of a zone as long as other zones of the same rank have
     * candidates, so that the caller still has a usable entry VM after the loss of a zone.
     */
    public fun select(callerKey: Long, region: RegionName?, zone: ZoneName?, count: Int): List<EntryCandidate> {
        val result = ArrayList<EntryCandidate>(count)
        // The VMs of the preferred region come first and usually fill the result, so the others are rarely searched.
        indexesByRegion[region]?.let { addBest(result, it, callerKey, zone, count) }
        addBest(result, allIndexes, callerKey, zone, count)
        return result
    }

    private fun addBest(
        result: MutableList<EntryCandidate>,
        indexes: IntArray,
        callerKey: Long,
        zone: ZoneName?,
        count: Int,
    ) {
        while (result.size < count) {
            val best = findBestIndex(result, indexes, callerKey, zone)
            if (best < 0) return
            result += candidates[best]
        }
    }

    private fun findBestIndex(chosen: List<EntryCandidate>, indexes: IntArray, callerKey: Long, zone: ZoneName?): Int {
        var best = -1
        var bestRank = Int.MAX_VALUE
        var bestScore = 0.0
        for (index in indexes) {
            val candidate = candidates[index]
            val rank = if (candidate in chosen) Int.MAX_VALUE else rankOf(candidate, chosen, zone)
            if (rank < Int.MAX_VALUE && rank <= bestRank) {
                val score = scoreOf(index, callerKey)
                if (rank < bestRank || score > bestScore) {
                    best = index
                    bestRank = rank
                    bestScore = score
                }
            }
        }
        return best
    }

    private fun rankOf(candidate: EntryCandidate, chosen: List<EntryCandidate>, zone: ZoneName?): Int =
        (if (candidate.zone == zone) 0 else 2) + (if (chosen.any { it.zone == candidate.zone }) 1 else 0)

    /** Returns `weight / -ln(uniform)`: each candidate has the highest score in proportion to its weight. */
    private fun scoreOf(index: Int, callerKey: Long): Double {
        val hash = mix(vmHashes[index] xor mix(callerKey))
        val uniform = ((hash ushr MANTISSA_SHIFT) + 1).toDouble() / MANTISSA_RANGE
        return candidates[index].weight / -ln(uniform)
    }

    private companion object {
        const val MANTISSA_SHIFT = 11
        const val MANTISSA_RANGE = (1L shl 53).toDouble() + 1

        /** Finalizer of SplitMix64: every input bit affects every output bit. */
        fun mix(value: Long): Long {
            var result = value + -0x61c8864680b583ebL
            result = (result xor (result ushr 30)) * -0x40a7b892e31b1a47L
            result = (result xor (result ushr 27)) * -0x6b2fb644ecceee15L
            return result xor (result ushr 31)
        }
    }
}
