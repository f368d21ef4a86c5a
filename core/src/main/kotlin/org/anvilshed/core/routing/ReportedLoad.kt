package org.anvilshed.core.routing

import org.anvilshed.core.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val FULL_WEIGHT_AGE = 500.milliseconds
private val NO_WEIGHT_AGE = 5.seconds

/**
 * Load that a target or peer reported about itself. The report may be stale or wrong.
 *
 * @property limit number of requests that the reporter can work on at a time.
 * @property load number of requests that the reporter works on or has queued.
 * @property measuredAt time of the measurement on the clock of this process: time of receipt minus the reported age.
 */
public data class ReportedLoad(public val limit: Int, public val load: Int, public val measuredAt: MonotonicTime) {
    /** Returns the estimated load at [now]: as the report ages, the estimate rises from [load] to [limit]. */
    public fun estimatedLoad(now: MonotonicTime): Double {
        val weight = reportWeight(now - measuredAt)
        return weight * load + (1 - weight) * maxOf(limit, load)
    }

    /** Returns how many of the reported free slots are expected to be still free at [now]. */
    public fun estimatedFreeSlots(now: MonotonicTime): Int =
        ((limit - load).coerceAtLeast(0) * reportWeight(now - measuredAt)).toInt()
}

/**
 * Returns the weight of a report of the given [age]: 1 up to 0.5 s, then falling linearly to 0 at 5 s.
 *
 * The remaining weight counts as full load, because missing measurements must not look like low load.
 */
public fun reportWeight(age: Duration): Double = when {
    age <= FULL_WEIGHT_AGE -> 1.0
    age >= NO_WEIGHT_AGE -> 0.0
    else -> (NO_WEIGHT_AGE - age) / (NO_WEIGHT_AGE - FULL_WEIGHT_AGE)
}
