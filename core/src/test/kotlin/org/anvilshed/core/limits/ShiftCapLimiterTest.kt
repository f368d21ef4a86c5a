package org.anvilshed.core.limits

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.comparables.shouldBeLessThanOrEqualTo
import io.kotest.matchers.shouldBe
import org.anvilshed.core.MonotonicTime
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.nanoseconds
import kotlin.time.Duration.Companion.seconds

private val START = MonotonicTime(-5_000_000_000)

class ShiftCapLimiterTest :
    FunSpec({
        val sequences = System.getProperty("anvilshed.fuzz.sequences", "300").toInt()
        val firstSeed = System.getProperty("anvilshed.fuzz.seed", "20261204").toLong()

        test("a new limiter moves no request before enough requests were served in their region") {
            val limiter = ShiftCapLimiter(0.5, 1.seconds)
            limiter.tryMove(START) shouldBe false
            limiter.recordServedInRegion(START)
            limiter.tryMove(START) shouldBe true
            limiter.tryMove(START) shouldBe false
        }

        test("whenever a request is moved, the window that ends then has moved requests within the cap") {
            for (seed in firstSeed until firstSeed + sequences) {
                val random = Random(seed)
                var cap = random.nextInt(101) / 100.0
                var window = random.nextLong(17, 3000).milliseconds
                val limiter = ShiftCapLimiter(cap, window)
                val requests = mutableListOf<Pair<MonotonicTime, Boolean>>()
                var now = MonotonicTime(random.nextLong(-5_000_000_000, 5_000_000_000))
                repeat(300) { number ->
                    if (random.nextInt(100) == 0) {
                        cap = random.nextInt(101) / 100.0
                        if (random.nextBoolean()) window = random.nextLong(17, 3000).milliseconds
                        limiter.change(cap, window, now)
                    }
                    now +=
                        if (random.nextInt(40) ==
                            0
                        ) {
                            window * random.nextDouble()
                        } else {
                            random.nextLong(8_000_000).nanoseconds
                        }
                    val moved = random.nextInt(3) > 0 && limiter.tryMove(now)
                    if (!moved) limiter.recordServedInRegion(now)
                    requests += now to moved
                    val inWindow = requests.filter { it.first > now - window }
                    if (moved && inWindow.count { it.second } > cap * inWindow.size) {
                        throw AssertionError("seed $seed: request $number exceeds the cap $cap in a window of $window")
                    }
                }
            }
        }

        test("concurrent moves do not exceed the cap together") {
            val limiter = ShiftCapLimiter(0.25, 10.seconds)
            repeat(3000) { limiter.recordServedInRegion(START) }
            val moved = AtomicInteger()
            val threads = List(4) { thread { repeat(1000) { if (limiter.tryMove(START)) moved.incrementAndGet() } } }
            threads.forEach { it.join() }
            moved.get() shouldBeLessThanOrEqualTo 1000
        }
    })
