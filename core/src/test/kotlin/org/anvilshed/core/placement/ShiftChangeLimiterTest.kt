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
        test("the share of moved requests changes by at most the cap from window to window, up and down") {
            val band = ShiftChangeLimiter(0.15, HOME)
            val sent = ArrayList<Pair<MonotonicTime, RegionName>>()
            var now = MonotonicTime(0)
            repeat(6_000) { number ->
                now += 5.milliseconds
                // All requests would move for the middle ten seconds, and none before and after.
                val wantsRemote = number in 2_000..4_000
                val region = when {
                    wantsRemote && band.allows(REMOTE, isForced = false, now) -> REMOTE
                    !wantsRemote && band.demands(REMOTE, now) -> REMOTE
                    else -> HOME
                }
                band.recordSent(region, now)
                sent.add(now to region)
            }
            for (end in 800 until sent.size step 40) {
                val at = sent[end].first
                val latest = sent.filter { it.first > at - 2.seconds && it.first <= at }
                val former = sent.filter { it.first > at - 4.seconds && it.first <= at - 2.seconds }
                val change = abs(
                    latest.count { it.second == REMOTE }.toDouble() / latest.size -
                        former.count { it.second == REMOTE }.toDouble() / former.size,
                )
                change shouldBeLessThanOrEqual 0.15
            }
        }

        // Guards against VMs with few requests that move nearly half of them, half to each of two other regions.
        test("a VM with few requests keeps the share that leaves for all other regions within the cap") {
            val band = ShiftChangeLimiter(0.15, HOME)
            var now = MonotonicTime(0)
            repeat(10) {
                now += 200.milliseconds
                band.recordSent(HOME, now)
            }
            var moved = 0
            repeat(10) {
                now += 200.milliseconds
                val region = listOf(REMOTE, RegionName("third")).firstOrNull { band.allows(it, isForced = false, now) }
                if (region != null) moved++
                band.recordSent(region ?: HOME, now)
            }
            moved shouldBeLessThanOrEqual 2
        }
    })
