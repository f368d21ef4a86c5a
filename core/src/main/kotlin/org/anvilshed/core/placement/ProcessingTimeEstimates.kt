package org.anvilshed.core.placement

import kotlin.math.sqrt
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Learned processing times of the workload classes of one service, without round trips and waiting.
 *
 * A target processes a request faster if it has the object cached, so there are two estimates for each class. Not
 * thread-safe.
 */
internal class ProcessingTimeEstimates {
    /** Processing times in milliseconds for objects that the target has cached and for others. */
    private class Estimate(var cached: Double, var uncached: Double)

    private val estimates = HashMap<WorkloadClass, Estimate>()

    /** Average processing time of recently answered requests of all classes. */
    var average: Duration = INITIAL_AVERAGE
        private set

    /** Returns the expected time if the target has the object cached with [cachedProbability], from 0 to 1. */
    fun expected(workloadClass: WorkloadClass, cachedProbability: Double): Duration {
        val estimate = estimateOf(workloadClass)
        return (estimate.cached * cachedProbability + estimate.uncached * (1 - cachedProbability)).milliseconds
    }

    /** Returns whether [processingTime] suggests that the target had the object cached. */
    fun looksCached(workloadClass: WorkloadClass, processingTime: Duration): Boolean {
        val estimate = estimateOf(workloadClass)
        return milliseconds(processingTime) < sqrt(estimate.cached * estimate.uncached)
    }

    /** Records the [processingTime] of a request; [cached] tells whether the target had its object cached. */
    fun observe(workloadClass: WorkloadClass, cached: Boolean, processingTime: Duration) {
        average += (processingTime - average) * AVERAGE_WEIGHT
        val estimate = estimateOf(workloadClass)
        if (cached) {
            estimate.cached += SAMPLE_WEIGHT * (milliseconds(processingTime) - estimate.cached)
        } else {
            estimate.uncached += SAMPLE_WEIGHT * (milliseconds(processingTime) - estimate.uncached)
        }
        estimate.cached = estimate.cached.coerceAtMost(estimate.uncached)
    }

    private fun estimateOf(workloadClass: WorkloadClass): Estimate = estimates.getOrPut(workloadClass) {
        val uncached = milliseconds((workloadClass.latencyObjective ?: DEFAULT_OBJECTIVE) * INITIAL_OBJECTIVE_FRACTION)
        Estimate(uncached * INITIAL_CACHED_FRACTION, uncached)
    }

    private fun milliseconds(duration: Duration): Double = duration.inWholeMicroseconds / MICROSECONDS_PER_MILLISECOND

    private companion object {
        const val SAMPLE_WEIGHT = 0.05
        const val AVERAGE_WEIGHT = 0.02
        val INITIAL_AVERAGE = 150.milliseconds
        const val MICROSECONDS_PER_MILLISECOND = 1000.0

        /** Estimate before the first answer, as a fraction of the latency objective, which is near the usual time. */
        const val INITIAL_OBJECTIVE_FRACTION = 0.8

        /** Estimate for a cached object before the first one, as a fraction of the time for an uncached object. */
        const val INITIAL_CACHED_FRACTION = 0.4
        val DEFAULT_OBJECTIVE = 500.milliseconds
    }
}
