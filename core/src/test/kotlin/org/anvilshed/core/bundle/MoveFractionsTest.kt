package org.anvilshed.core.bundle

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.doubles.plusOrMinus
import io.kotest.matchers.doubles.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private fun verified(fraction: Double, activation: ActivationRecord): VerifiedBundle =
    TestOperators.verifier.verify(TestOperators.signed(sampleDocument(fraction = fraction), activation = activation))
        .shouldBeInstanceOf<VerificationResult.Verified>().bundle

class MoveFractionsTest :
    FunSpec({
        val fromZero = ActivationRecord(TEST_TIME, emptyList())

        test("the fraction of a new move increases by the ramp per window from 0 to the planned fraction") {
            val bundle = verified(0.2, fromZero)
            for ((seconds, expected) in mapOf(
                -60 to 0.0,
                0 to 0.0,
                5 to 0.05,
                10 to 0.1,
                20 to 0.2,
                21 to 0.2,
                9999 to 0.2,
            )) {
                bundle.effectiveFractions(TEST_TIME + seconds.seconds).single().fraction shouldBe
                    (expected plusOrMinus 1e-9)
            }
        }

        test("a following bundle continues from the fractions in effect, without a sudden increase") {
            val at = TEST_TIME + 5.seconds
            val successor = verified(0.3, activationAfter(verified(0.2, fromZero), at))
            successor.effectiveFractions(at).single().fraction shouldBe (0.05 plusOrMinus 1e-9)
            successor.effectiveFractions(at + 10.seconds).single().fraction shouldBe (0.15 plusOrMinus 1e-9)
        }

        test("a decrease takes effect immediately") {
            val at = TEST_TIME + 60.seconds
            val successor = verified(0.1, activationAfter(verified(0.3, fromZero), at))
            successor.effectiveFractions(at).single().fraction shouldBe (0.1 plusOrMinus 1e-9)
        }

        test("without a bundle in force the activation record is empty") {
            activationAfter(null, TEST_TIME).fractions.shouldBeEmpty()
        }

        test("a planned start delays the ramp, and a planned start in the past does not skip it") {
            val bundle = verified(0.2, fromZero).bundle
            val later = bundle.moves.single().copy(startedAt = TEST_TIME + 30.seconds)
            bundle.effectiveFraction(later, fromZero, TEST_TIME + 30.seconds) shouldBe 0.0
            bundle.effectiveFraction(later, fromZero, TEST_TIME + 40.seconds) shouldBe (0.1 plusOrMinus 1e-9)
            val past = bundle.moves.single().copy(startedAt = TEST_TIME - 3600.seconds)
            bundle.effectiveFraction(past, fromZero, TEST_TIME) shouldBe 0.0
        }

        test("a recorded fraction that is NaN or out of range does not make a move exceed the planned fraction") {
            for (recorded in listOf(Double.NaN, -1.0, 7.0, Double.POSITIVE_INFINITY)) {
                val bundle = verified(0.2, fromZero)
                val record = activationAfter(bundle, TEST_TIME).let { activation ->
                    activation.copy(fractions = activation.fractions.map { it.copy(fraction = recorded) })
                }
                val fraction = bundle.bundle.effectiveFractions(record, TEST_TIME).single().fraction
                (fraction in 0.0..0.2) shouldBe true
            }
        }

        test("in random sequences of bundles no move increases faster than its ramp or exceeds its fraction") {
            val random = Random(20261204)
            repeat(50) {
                var bundle = verified(0.2, fromZero)
                var now = TEST_TIME
                var last = 0.0
                repeat(20) {
                    if (random.nextInt(4) == 0) {
                        bundle = verified(random.nextInt(0, 31) / 100.0, activationAfter(bundle, now))
                    }
                    val step = random.nextInt(0, 15_000).milliseconds
                    now += step
                    val fraction = bundle.effectiveFractions(now).single().fraction
                    fraction - last shouldBeLessThanOrEqual 0.1 * (step / 10.seconds) + 1e-9
                    fraction shouldBeLessThanOrEqual bundle.bundle.moves.single().fraction
                    last = fraction
                }
            }
        }
    })
