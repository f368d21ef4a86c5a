package org.anvilshed.core.limits

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.comparables.shouldBeLessThanOrEqualTo
import io.kotest.matchers.shouldBe
import org.anvilshed.core.MonotonicTime
import org.anvilshed.core.seats.ShareSet
import org.anvilshed.core.seats.UsableShares
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val START = MonotonicTime(-5_000_000_000)
private val QUARTER = UsableShares(ShareSet.of(64, 0..15), START + 6.seconds, 10.seconds)

class RateLimiterTest :
    FunSpec({
        test("without a share nothing is granted, and the waiting time is infinite") {
            val limiter = RateLimiter(1000.0) { UsableShares.NONE }
            limiter.tryAcquire(1.0, START) shouldBe false
            limiter.waitingTime(1.0, START).isInfinite() shouldBe true
        }

        test("no interval is granted more than its rate allows, one burst and one oversized amount") {
            val random = Random(7)
            val limiter = RateLimiter(8000.0) { QUARTER }
            var now = START
            val granted = mutableListOf<Pair<MonotonicTime, Double>>()
            while (now < START + 5.seconds) {
                val amount = random.nextDouble(1.0, 400.0)
                if (limiter.tryAcquire(amount, now)) granted += now to amount
                now += random.nextLong(20).milliseconds
            }
            for ((index, first) in granted.withIndex()) {
                var sum = 0.0
                for ((at, amount) in granted.drop(index)) {
                    sum += amount
                    sum shouldBeLessThanOrEqualTo 2000.0 * ((at - first.first + 100.milliseconds) / 1.seconds) + 400.1
                }
            }
        }

        test("an amount is available after the returned waiting time") {
            val limiter = RateLimiter(4000.0) { QUARTER }
            repeat(100) { limiter.tryAcquire(1.0, START) }
            limiter.tryAcquire(50.0, START) shouldBe false
            limiter.tryAcquire(50.0, START + limiter.waitingTime(50.0, START)) shouldBe true
        }
    })
