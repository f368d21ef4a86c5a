package org.anvilshed.core.limits

import org.anvilshed.core.bundle.Move
import org.anvilshed.core.bundle.Service
import kotlin.time.Duration
import kotlin.time.Instant

/**
 * Returns the fraction of the requests of a planned move, from 0 to 1, that should be moved at [now].
 *
 * An increase is linear: the fraction starts from [initial] at [startedAt], rises by at most [ramp] in any interval of
 * length [window] and ends at [finalFraction]. A decrease takes full effect at [startedAt].
 *
 * @param initial fraction that was in effect when the bundle was activated; 0 for a new move.
 */
public fun plannedFraction(
    finalFraction: Double,
    initial: Double,
    ramp: Double,
    window: Duration,
    startedAt: Instant,
    now: Instant,
): Double {
    if (now < startedAt) return initial
    if (finalFraction <= initial) return finalFraction
    return minOf(finalFraction, initial + ramp * ((now - startedAt) / window))
}

/** Returns the fraction of [move] in effect at [now], with the shift ramp and shift window of its [service]. */
public fun plannedFraction(move: Move, service: Service, initial: Double, startedAt: Instant, now: Instant): Double =
    plannedFraction(move.fraction, initial, service.shiftRamp, service.shiftWindow, startedAt, now)
