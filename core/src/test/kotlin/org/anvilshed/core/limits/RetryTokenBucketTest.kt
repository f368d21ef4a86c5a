package org.anvilshed.core.limits

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe

class RetryTokenBucketTest :
    FunSpec({
        test("ten retries are available at the start, then one for ten first attempts, and never more than ten") {
            val budget = RetryTokenBucket()
            repeat(10) { budget.tryRetry() shouldBe true }
            repeat(9) { budget.recordFirstAttempt() }
            budget.tryRetry() shouldBe false
            budget.recordFirstAttempt()
            budget.tryRetry() shouldBe true
            repeat(1000) { budget.recordFirstAttempt() }
            (0 until 20).count { budget.tryRetry() } shouldBe 10
        }
    })
