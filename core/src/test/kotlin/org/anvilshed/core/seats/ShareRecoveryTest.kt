package org.anvilshed.core.seats

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe

class ShareRecoveryTest :
    FunSpec({
        test("the shares of a killed process come back within the stated time") {
            // 2 s until the last renewal is seen by all,
            // 7.3 s removal delay, 4 s deadline, drift, two turns of the loop.
            val bound = 15_000L
            for (seed in 1L..20) {
                val simulation = ShareSimulation(seed, SCOPE_OF_ZONE_A, zones = List(3) { ZONE_A })
                simulation.runFor(20_000 + seed * 130)
                simulation.vms[1].alive = false
                simulation.timeUntil(bound) { simulation.usableFraction() > 1 - 1e-9 }.shouldNotBeNull()
            }
        }

        test("a single process of a zone that is cut off keeps its whole share, and so does a zone of two") {
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
