package org.anvilshed.core.limits

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe

class RetryTokenBucketTest :
    FunSpec({
        test("ten retries are available at the start, then one for every ten first attempts, and never more than ten") {
            val bucket = RetryTokenBucket()
            repeat(10) { bucket.tryRetry() shouldBe true }
            repeat(9) { bucket.recordFirstAttempt() }
            bucket.tryRetry() shouldBe false
            bucket.recordFirstAttempt()
            bucket.tryRetry() shouldBe true
            repeat(1000) { bucket.recordFirstAttempt() }
            (0 until 20).count { bucket.tryRetry() } shouldBe 10
        }
    })
