package org.anvilshed.core.placement

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import org.anvilshed.core.MonotonicTime
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class SharedRetryBudgetTest :
    FunSpec({
        test("repeats of all VMs stay within the shared budget in every window, also when all of them retry at once") {
            val members = 7
            val allowances = List(members) { SharedRetryBudget(0.2, 56.0, 10.seconds) }
            val repeats = ArrayList<MonotonicTime>()
            val requests = ArrayList<MonotonicTime>()
            var now = MonotonicTime(0)
            repeat(2_000) {
                now += 10.milliseconds
                for (allowance in allowances) {
                    allowance.recordRequest(now)
                    requests.add(now)
                    repeat(3) { if (allowance.tryRetry(members, now)) repeats.add(now) }
                }
            }
            for (end in repeats.indices step 50) {
                val from = repeats[end] - 10.seconds
                val repeated = repeats.count { it > from && it <= repeats[end] }
                val requested = requests.count { it > from && it <= repeats[end] }
                repeated shouldBeLessThanOrEqual (0.2 * requested + 56).toInt()
            }
        }

        test("the slack alone allows repeats when there are hardly any requests") {
            val allowance = SharedRetryBudget(0.2, 56.0, 10.seconds)
            val now = MonotonicTime(0)
            (0 until 50).count { allowance.tryRetry(7, now) } shouldBe 6
        }
    })
