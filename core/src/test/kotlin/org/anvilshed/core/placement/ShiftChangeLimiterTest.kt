package org.anvilshed.core.placement

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.shouldBeLessThanOrEqual
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import org.anvilshed.core.MonotonicTime
import org.anvilshed.core.RegionName
import kotlin.math.abs
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val HOME = RegionName("home")
private val REMOTE = RegionName("remote")

class ShiftChangeLimiterTest :
    FunSpec({
        test("the fraction of moved requests rises and falls by at most the limit from window to window") {
            val limiter = ShiftChangeLimiter({ 0.15 }, HOME)
            val sent = ArrayList<Pair<MonotonicTime, RegionName>>()
            var now = MonotonicTime(0)
            repeat(6_000) { number ->
                now += 5.milliseconds
                // Without the limit, all requests would move in the middle ten seconds, and none before and after.
                val wantsRemote = number in 2_000..4_000
                val region = when {
                    wantsRemote && limiter.allows(REMOTE, isForced = false, now) -> REMOTE
                    !wantsRemote && limiter.requires(REMOTE, now) -> REMOTE
                    else -> HOME
                }
                limiter.recordSent(region, now)
                sent.add(now to region)
            }
            for (end in 800 until sent.size step 40) {
                val at = sent[end].first
                val latest = sent.filter { it.first > at - 2.seconds && it.first <= at }
                val previous = sent.filter { it.first > at - 4.seconds && it.first <= at - 2.seconds }
                val change = abs(
                    latest.count { it.second == REMOTE }.toDouble() / latest.size -
                        previous.count { it.second == REMOTE }.toDouble() / previous.size,
                )
                change shouldBeLessThanOrEqual 0.15
            }
        }

        // Guards against VMs with few requests that move nearly half of them because each of two other regions gets a
        // fraction within its own limit.
        test("a VM with few requests keeps the fraction that all other regions serve together within the limit") {
            val limiter = ShiftChangeLimiter({ 0.15 }, HOME)
            var now = MonotonicTime(0)
            repeat(10) {
                now += 200.milliseconds
                limiter.recordSent(HOME, now)
            }
            var moved = 0
            repeat(10) {
                now += 200.milliseconds
                val region = listOf(REMOTE, RegionName("third")).firstOrNull {
                    limiter.allows(it, isForced = false, now)
                }
                if (region != null) moved++
                limiter.recordSent(region ?: HOME, now)
            }
            moved shouldBeLessThanOrEqual 2
        }
    })
