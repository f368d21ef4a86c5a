package org.anvilshed.core.limits

import org.anvilshed.core.bundle.Move
import org.anvilshed.core.bundle.Service
import kotlin.time.Duration
import kotlin.time.Instant

/**
 * Returns the fraction of the requests of a planned move that is to be moved at [now].
 *
 * The fraction rises evenly, by at most [ramp] in any time of length [window], from [initial] at [startedAt] to [goal].
 * A decrease takes effect at [startedAt].
 *
 * @param initial fraction that was in effect when the bundle was activated; 0 for a new move.
 */
public fun plannedFraction(
    goal: Double,
    initial: Double,
    ramp: Double,
    window: Duration,
    startedAt: Instant,
    now: Instant,
): Double {
    if (now < startedAt) return initial
    if (goal <= initial) return goal
    return minOf(goal, initial + ramp * ((now - startedAt) / window))
}

/** Returns the fraction of [move] in effect at [now] by the ramp of its [service]; see [plannedFraction]. */
public fun plannedFraction(move: Move, service: Service, initial: Double, startedAt: Instant, now: Instant): Double =
    plannedFraction(move.fraction, initial, service.shiftRamp, service.shiftWindow, startedAt, now)
