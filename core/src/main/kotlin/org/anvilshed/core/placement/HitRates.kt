package org.anvilshed.core.placement

/**
 * Learned probability that a target knows the object of a request, for each [ObjectRank]. Not thread-safe.
 *
 * What targets keep, how many VMs send them the same objects and how much of the load was moved elsewhere all change
 * it, and none of these is told.
 */
internal class HitRates {
    private val rates = DoubleArray(ObjectRank.entries.size) { ObjectRank.entries[it].firstHitRate }

    /** Returns the probability that a target of [rank] knows the object. */
    fun of(rank: ObjectRank): Double = rates[rank.ordinal]

    /** Records whether a target of [rank] knew the object of a request. */
    fun observe(rank: ObjectRank, known: Boolean) {
        val sample = if (known) 1.0 else 0.0
        rates[rank.ordinal] += SAMPLE_WEIGHT * (sample - rates[rank.ordinal])
    }

    private companion object {
        /** Some thirty answers, less than a second of one VM's load, replace what was believed. */
        const val SAMPLE_WEIGHT = 0.03
    }
}
