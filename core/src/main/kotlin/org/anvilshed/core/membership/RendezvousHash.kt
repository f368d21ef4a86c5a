package org.anvilshed.core.membership

private const val FNV_OFFSET_BASIS = -3750763034362895579L
private const val FNV_PRIME = 1099511628211L
private const val MIX_FACTOR_1 = -49064778989728563L
private const val MIX_FACTOR_2 = -4265267296055464877L

/**
 * Returns the score of [candidate] for [key] in rendezvous hashing, which selects the candidates with the highest
 * scores. Every process computes the same score, and the removal of a candidate changes only selections that contained
 * the candidate.
 */
internal fun rendezvousScore(key: String, candidate: String): Long {
    var hash = FNV_OFFSET_BASIS
    // The separator distinguishes ("ab", "c") from ("a", "bc"); names contain no slash.
    for (character in "$key/$candidate") hash = (hash xor character.code.toLong()) * FNV_PRIME
    // FNV alone keeps the scores of names that differ only in the last character in order, so the bits are mixed.
    return mixBits(hash)
}

/** Returns the score in rendezvous hashing for a key and a candidate whose hashes are already known. */
internal fun rendezvousScore(keyHash: Int, candidateHash: Int): Long =
    mixBits((keyHash.toLong() shl Int.SIZE_BITS) xor (candidateHash.toLong() and 0xffffffffL) * FNV_PRIME)

private fun mixBits(bits: Long): Long {
    var hash = (bits xor (bits ushr 33)) * MIX_FACTOR_1
    hash = (hash xor (hash ushr 33)) * MIX_FACTOR_2
    return hash xor (hash ushr 33)
}

/** Returns the [count] candidates with the highest scores for [key], the highest first. */
internal fun <T> selectHighest(key: String, candidates: Collection<T>, count: Int, name: (T) -> String): List<T> =
    candidates.map { rendezvousScore(key, name(it)) to it }
        .sortedWith(compareByDescending<Pair<Long, T>> { it.first }.thenBy { name(it.second) })
        .take(count)
        .map { it.second }
