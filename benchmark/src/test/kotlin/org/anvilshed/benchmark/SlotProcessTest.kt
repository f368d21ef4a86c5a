package org.anvilshed.benchmark

import io.kotest.core.spec.style.FunSpec
import org.anvilshed.standins.CHOKAA
import kotlin.time.Duration.Companion.seconds

/** Guards promise 2 of design section 2.1 against steering decisions that overload a target. */
class SlotProcessTest :
    FunSpec({
        test("no target has more requests than slots while deadlines pass during the work") {
            withDeployment {
                // The work takes longer than the deadline of most kinds, so that passed deadlines free slots.
                val kinds = loadKinds(CHOKAA, LoadProfile.MORNING).map { it.copy(workMs = 2_500) }
                val load = startLoad(60.seconds, seed = 8, rate = 150.0, kinds = kinds)
                Thread.sleep(20_000)
                checkExecutions(load.stop())
            }
        }
    })
