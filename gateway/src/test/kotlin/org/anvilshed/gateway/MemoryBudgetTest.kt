package org.anvilshed.gateway

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe

class MemoryBudgetTest :
    FunSpec({
        test("all reservations together stay within the limit, and a released one makes room for others") {
            val budget = MemoryBudget(100)
            val first = budget.newReservation()
            val second = budget.newReservation()
            first.tryGrow(60) shouldBe true
            second.tryGrow(41) shouldBe false
            second.tryGrow(40) shouldBe true
            first.tryGrow(1) shouldBe false
            first.release()
            first.release()
            second.tryGrow(60) shouldBe true
            second.tryGrow(1) shouldBe false
        }
    })
