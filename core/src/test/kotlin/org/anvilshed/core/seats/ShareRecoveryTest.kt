package org.anvilshed.core.seats

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe

class ShareRecoveryTest :
    FunSpec({
        test("the shares of a killed process are usable by others within 15 s") {
            // 2 s until all members have read the last renewal, 7.3 s removal delay, 4 s quarantine for the deadline,
            // clock drift, and two iterations of the loop.
            val bound = 15_000L
            for (seed in 1L..20) {
                val simulation = ShareSimulation(seed, SCOPE_OF_ZONE_A, zones = List(3) { ZONE_A })
                simulation.runFor(20_000 + seed * 130)
                simulation.vms[1].alive = false
                simulation.timeUntil(bound) { simulation.usableFraction() > 1 - 1e-9 }.shouldNotBeNull()
            }
        }

        test("a zone of one or two processes cut off from the platform and the other zone keeps all its shares") {
            for (size in 1..2) {
                val zones = List(size) { ZONE_A } + ZONE_B
                val simulation = ShareSimulation(size.toLong(), SCOPE_OF_ZONE_A, isolationSeconds = 300, zones)
                simulation.runFor(20_000)
                Fault.CUT_ZONE.apply(simulation, simulation.vms[0], 1)
                simulation.runFor(20_000)
                repeat(4000) {
                    simulation.runFor(50)
                    simulation.usableFraction() shouldBe 1.0
                }
            }
        }
    })
