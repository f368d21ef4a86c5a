package org.anvilshed.core.placement

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import org.anvilshed.core.MonotonicTime
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class SharedRetryBudgetTest :
    FunSpec({
        // Guards against VMs that amplify an overload together by sending too many retries.
        test("retries of all VMs stay within the shared budget in every window, also when all VMs retry at once") {
            val members = 7
            val budgets = List(members) { SharedRetryBudget({ 0.2 }, { 56.0 }, 10.seconds) }
            val retries = ArrayList<MonotonicTime>()
            val requests = ArrayList<MonotonicTime>()
            var now = MonotonicTime(0)
            repeat(2_000) {
                now += 10.milliseconds
                for (budget in budgets) {
                    budget.recordRequest(now)
                    requests.add(now)
                    repeat(3) { if (budget.tryRetry(members, now)) retries.add(now) }
                }
            }
            for (end in retries.indices step 50) {
                val from = retries[end] - 10.seconds
                val retried = retries.count { it > from && it <= retries[end] }
                val requested = requests.count { it > from && it <= retries[end] }
                retried shouldBeLessThanOrEqual (0.2 * requested + 56).toInt()
            }
        }

        test("a VM without requests may still send its part of the slack as retries, and no more") {
            val budget = SharedRetryBudget({ 0.2 }, { 56.0 }, 10.seconds)
            val now = MonotonicTime(0)
            (0 until 50).count { budget.tryRetry(7, now) } shouldBe 6
        }
    })
