package org.anvilshed.core.placement

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Learned work of the request classes of one service, without trips and waits. Not thread-safe. */
internal class WorkEstimates {
    private class Estimate {
        var known = Double.NaN
        var unknown = Double.NaN
    }

    private val estimates = HashMap<RequestClass, Estimate>()

    /** Returns the expected work of a request; [knownObject] tells whether the target handled its object before. */
    fun expected(requestClass: RequestClass, knownObject: Boolean): Duration {
        val estimate = estimates[requestClass]
        val unknown = estimate?.unknown?.takeUnless { it.isNaN() }?.milliseconds
            ?: ((requestClass.latencyGoal ?: DEFAULT_GOAL) * FIRST_SHARE_OF_GOAL)
        if (!knownObject) return unknown
        return estimate?.known?.takeUnless { it.isNaN() }?.milliseconds ?: (unknown * FIRST_KNOWN_SHARE)
    }

    fun observe(requestClass: RequestClass, knownObject: Boolean, work: Duration) {
        val estimate = estimates.getOrPut(requestClass) { Estimate() }
        val sample = work.inWholeMicroseconds / MICROSECONDS_PER_MILLISECOND
        if (knownObject) {
            estimate.known = average(estimate.known, sample)
        } else {
            estimate.unknown = average(estimate.unknown, sample)
        }
    }

    private fun average(former: Double, sample: Double): Double =
        if (former.isNaN()) sample else former + SAMPLE_WEIGHT * (sample - former)

    private companion object {
        const val SAMPLE_WEIGHT = 0.05
        const val MICROSECONDS_PER_MILLISECOND = 1000.0

        /** Before the first answer the work is taken as this share of the goal: goals are set above the usual work. */
        const val FIRST_SHARE_OF_GOAL = 0.6

        /** Before the first repeated object its work is taken as this share of an unknown object's. */
        const val FIRST_KNOWN_SHARE = 0.5
        val DEFAULT_GOAL = 500.milliseconds
    }
}
