package org.anvilshed.core.placement

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.ZERO
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class TimeLimitEstimatorTest :
    FunSpec({
        test("a request with less than the usual limit started as much earlier") {
            val deadline = TimeLimitEstimator()
            repeat(30) { deadline.observe(1200.milliseconds) shouldBe ZERO }
            deadline.observe(900.milliseconds) shouldBe 300.milliseconds
        }

        test("a single long limit does not make all others look late") {
            val deadline = TimeLimitEstimator()
            repeat(30) { deadline.observe(1200.milliseconds) }
            deadline.observe(60.seconds)
            repeat(30) { deadline.observe(1200.milliseconds) shouldBe ZERO }
        }

        test("limits without a usual value say nothing") {
            val deadline = TimeLimitEstimator()
            for (step in 0 until 200) deadline.observe((500 + step * 37 % 1000).milliseconds) shouldBe ZERO
        }
    })
