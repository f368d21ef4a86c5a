package org.anvilshed.core.bundle

import kotlin.time.Instant

/**
 * Returns the fraction of [move] that is in effect at [now], from 0 to the fraction that the bundle plans.
 *
 * The fraction starts at the value that [activation] records for the same move and increases by the service's
 * `shift_ramp` per `shift_window_ms` from the activation, or from the planned start if that is later. A decrease takes
 * effect immediately, since only an increase sends requests to cold caches.
 */
public fun Bundle.effectiveFraction(move: Move, activation: ActivationRecord, now: Instant): Double {
    val service = services.getValue(move.service)
    val recorded = activation.fractions
        .find { it.service == move.service && it.from == move.from && it.to == move.to }?.fraction ?: 0.0
    // A recorded NaN fails the comparison and counts as 0.
    val start = if (recorded >= 0.0) minOf(recorded, move.fraction) else 0.0
    val rampStart = maxOf(activation.activatedAt, move.startedAt ?: activation.activatedAt)
    val windows = (now - rampStart) / service.shiftWindow
    return if (windows <= 0.0) start else minOf(move.fraction, start + service.shiftRamp * windows)
}

/** Returns the fractions of all moves of this bundle that are in effect at [now], in the order of the bundle. */
public fun Bundle.effectiveFractions(activation: ActivationRecord, now: Instant): List<MoveFraction> =
    moves.map { MoveFraction(it.service, it.from, it.to, effectiveFraction(it, activation, now)) }

/** Returns the fractions of all moves of this bundle that are in effect at [now]. */
public fun VerifiedBundle.effectiveFractions(now: Instant): List<MoveFraction> =
    bundle.effectiveFractions(activation, now)

/**
 * Returns the activation record of a bundle that is signed off at [now] and follows [previous], the bundle in force, or
 * `null` if there is none.
 */
public fun activationAfter(previous: VerifiedBundle?, now: Instant): ActivationRecord =
    ActivationRecord(activatedAt = now, fractions = previous?.effectiveFractions(now).orEmpty())
