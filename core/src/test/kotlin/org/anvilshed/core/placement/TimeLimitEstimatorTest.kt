package org.anvilshed.core.placement

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.ZERO
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class TimeLimitEstimatorTest :
    FunSpec({
        test("a request with less than the typical limit made its first attempt earlier by the difference") {
            val estimator = TimeLimitEstimator()
            repeat(30) { estimator.observe(1200.milliseconds) shouldBe ZERO }
            estimator.observe(900.milliseconds) shouldBe 300.milliseconds
        }

        test("a single long limit does not make all other requests look like later attempts") {
            val estimator = TimeLimitEstimator()
            repeat(30) { estimator.observe(1200.milliseconds) }
            estimator.observe(60.seconds)
            repeat(30) { estimator.observe(1200.milliseconds) shouldBe ZERO }
        }

        test("if no limit is typical, no request is taken as a later attempt") {
            val estimator = TimeLimitEstimator()
            for (step in 0 until 200) estimator.observe((500 + step * 37 % 1000).milliseconds) shouldBe ZERO
        }
    })
