package org.anvilshed.core.limits

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.plusOrMinus
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

class PlannedMoveTest :
    FunSpec({
        test("the fraction rises evenly from the initial one and falls at once") {
            val start = Instant.fromEpochSeconds(1000)
            fun at(goal: Double, seconds: Int) = plannedFraction(
                goal,
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
