package org.anvilshed.core.placement

/**
 * Learned probability that a target has the object of a request in its cache, for each [ObjectRank]. Not thread-safe.
 *
 * The probability depends on how many objects targets cache, how many VMs send the same objects to them and how much
 * load other regions serve. VMs receive none of these figures, so they learn the probability from answers.
 */
internal class HitRates {
    private val rates = DoubleArray(ObjectRank.entries.size) { ObjectRank.entries[it].initialHitRate }

    /** Returns the probability, from 0 to 1, that a target of [rank] has the object cached. */
    fun of(rank: ObjectRank): Double = rates[rank.ordinal]

    /** Records whether a target of [rank] had the object of a request [cached]. */
    fun observe(rank: ObjectRank, cached: Boolean) {
        val sample = if (cached) 1.0 else 0.0
        rates[rank.ordinal] += SAMPLE_WEIGHT * (sample - rates[rank.ordinal])
    }

    private companion object {
        /** About thirty answers, which one VM gets in less than a second, replace the former estimate. */
        const val SAMPLE_WEIGHT = 0.03
    }
}
