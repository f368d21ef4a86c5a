package org.anvilshed.core.placement

import kotlin.math.sqrt
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Learned work of the request classes of one service, without trips and waits.
 *
 * A target that handled an object recently takes less work for it, so there are two figures for each class. Not
 * thread-safe.
 */
internal class WorkEstimates {
    private class Estimate(var known: Double, var unknown: Double)

    private val estimates = HashMap<WorkloadClass, Estimate>()

    /** Work of the requests that were answered lately, whatever their kind. */
    var average: Duration = FIRST_AVERAGE
        private set

    /** Returns the expected work if the target handled the object recently with the probability [knownProbability]. */
    fun expected(workloadClass: WorkloadClass, knownProbability: Double): Duration {
        val estimate = estimateOf(workloadClass)
        return (estimate.known * knownProbability + estimate.unknown * (1 - knownProbability)).milliseconds
    }

    /** Returns whether [work] looks like that for an object that the target handled recently. */
    fun looksKnown(workloadClass: WorkloadClass, work: Duration): Boolean {
        val estimate = estimateOf(workloadClass)
        return milliseconds(work) < sqrt(estimate.known * estimate.unknown)
    }

    /** Takes over the work of one request, of which [known] tells whether the target knew its object. */
    fun observe(workloadClass: WorkloadClass, known: Boolean, work: Duration) {
        average += (work - average) * AVERAGE_WEIGHT
        val estimate = estimateOf(workloadClass)
        if (known) {
            estimate.known += SAMPLE_WEIGHT * (milliseconds(work) - estimate.known)
        } else {
            estimate.unknown += SAMPLE_WEIGHT * (milliseconds(work) - estimate.unknown)
        }
        estimate.known = estimate.known.coerceAtMost(estimate.unknown)
    }

    private fun estimateOf(workloadClass: WorkloadClass): Estimate = estimates.getOrPut(workloadClass) {
        val unknown = milliseconds((workloadClass.latencyObjective ?: DEFAULT_GOAL) * FIRST_SHARE_OF_GOAL)
        Estimate(unknown * FIRST_KNOWN_SHARE, unknown)
    }

    private fun milliseconds(duration: Duration): Double = duration.inWholeMicroseconds / MICROSECONDS_PER_MILLISECOND

    private companion object {
        const val SAMPLE_WEIGHT = 0.05
        const val AVERAGE_WEIGHT = 0.02
        val FIRST_AVERAGE = 150.milliseconds
        const val MICROSECONDS_PER_MILLISECOND = 1000.0

        /** Before the first answer the work is taken as this share of the goal: goals are set near the usual work. */
        const val FIRST_SHARE_OF_GOAL = 0.8

        /** Before the first repeated object its work is taken as this share of an unknown object's. */
        const val FIRST_KNOWN_SHARE = 0.4
        val DEFAULT_GOAL = 500.milliseconds
    }
}
