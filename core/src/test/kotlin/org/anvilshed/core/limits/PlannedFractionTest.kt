package org.anvilshed.core.limits

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.plusOrMinus
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

class PlannedFractionTest :
    FunSpec({
        test("an increase is linear from the initial fraction, and a decrease takes full effect at the start time") {
            val start = Instant.fromEpochSeconds(1000)
            fun at(finalFraction: Double, seconds: Int) = plannedFraction(
                finalFraction,
                0.1,
                0.2,
                10.seconds,
                start,
                start + seconds.seconds,
            )
            at(0.5, -1) shouldBe 0.1
            at(0.5, 5) shouldBe (0.2 plusOrMinus 1e-9)
            at(0.5, 20) shouldBe (0.5 plusOrMinus 1e-9)
            at(0.5, 1000) shouldBe 0.5
            at(0.05, -1) shouldBe 0.1
            at(0.05, 0) shouldBe 0.05
        }
    })
