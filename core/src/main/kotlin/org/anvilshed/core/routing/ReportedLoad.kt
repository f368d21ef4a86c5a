package org.anvilshed.core.routing

import org.anvilshed.core.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val FULL_WEIGHT_AGE = 500.milliseconds
private val NO_WEIGHT_AGE = 5.seconds

/**
 * Load that a target or peer reported about itself. It may be stale or misleading.
 *
 * @property limit requests that it can work on at a time.
 * @property load requests that it works on or has queued.
 * @property measuredAt when it was measured, on the clock of this process: receipt minus the reported age.
 */
public data class ReportedLoad(public val limit: Int, public val load: Int, public val measuredAt: MonotonicTime) {
    /** Returns the load to be assumed at [now]: with rising age it moves from [load] up to [limit]. */
    public fun assumedLoad(now: MonotonicTime): Double {
        val weight = reportWeight(now - measuredAt)
        return weight * load + (1 - weight) * maxOf(limit, load)
    }

    /** Returns the part of the free capacity that may be counted on at [now], in whole requests. */
    public fun assumedFree(now: MonotonicTime): Int =
        ((limit - load).coerceAtLeast(0) * reportWeight(now - measuredAt)).toInt()
}

/**
 * Returns the weight of a report of the given [age]: 1 up to 0.5 s, then falling linearly to 0 at 5 s.
 *
 * Missing measurements must not look like low load, so the rest of the weight counts as full load.
 */
public fun reportWeight(age: Duration): Double = when {
    age <= FULL_WEIGHT_AGE -> 1.0
    age >= NO_WEIGHT_AGE -> 0.0
    else -> (NO_WEIGHT_AGE - age) / (NO_WEIGHT_AGE - FULL_WEIGHT_AGE)
}
