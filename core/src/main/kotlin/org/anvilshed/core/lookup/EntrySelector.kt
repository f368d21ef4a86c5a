package org.anvilshed.core.lookup

import org.anvilshed.core.RegionName
import org.anvilshed.core.ZoneName
import kotlin.math.ln

/**
 * Immutable directory of the entry VMs that lookups may name.
 *
 * Callers are spread by weighted rendezvous hashing on a key of the caller: each caller keeps its order while the
 * directory is unchanged, and the loss of one VM moves only the callers of that VM.
 *
 * ```
 * val directory = EntrySelector(candidates)
 * directory.select(callerKey = 7L, region = RegionName("nbo"), zone = null, count = 3)
 * ```
 */
public class EntrySelector(candidates: List<EntryCandidate>) {
    private val candidates: Array<EntryCandidate> = candidates.toTypedArray()
    private val everywhere = IntArray(candidates.size) { it }
    private val byRegion = candidates.indices.groupBy { candidates[it].region }.mapValues { it.value.toIntArray() }
    private val vmHashes = LongArray(candidates.size) { mix(candidates[it].vm.name.value.hashCode().toLong()) }

    init {
        candidates.forEach { require(it.weight > 0.0) { "weight of ${it.vm} is not positive: ${it.weight}" } }
    }

    /** Number of entry VMs that can be named. */
    public val size: Int get() = candidates.size

    /**
     * Returns up to [count] entry VMs for the caller with [callerKey], the best first.
     *
     * VMs of [zone] come before the others of [region], and these before all other VMs. Both may be `null` for a caller
     * without a preference. The result names at most one VM of a zone as long as other zones of the same rank have one,
     * so that the loss of a zone leaves the caller a usable entry.
     */
    public fun select(callerKey: Long, region: RegionName?, zone: ZoneName?, count: Int): List<EntryCandidate> {
        val result = ArrayList<EntryCandidate>(count)
        // The VMs of the preferred region come before all others, so most answers never look at the others.
        byRegion[region]?.let { addBest(result, it, callerKey, zone, count) }
        addBest(result, everywhere, callerKey, zone, count)
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
            val best = bestExcept(result, indexes, callerKey, zone)
            if (best < 0) return
            result += candidates[best]
        }
    }

    private fun bestExcept(chosen: List<EntryCandidate>, indexes: IntArray, callerKey: Long, zone: ZoneName?): Int {
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

    /** Weighted rendezvous score: the highest of `weight / -ln(uniform)` wins in proportion to the weights. */
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
