package org.anvilshed.core.seats

import io.kotest.core.spec.style.FunSpec

/**
 * Random faults against invariant 2 and against the recovery of all shares. For longer runs:
 * `-Danvilshed.fuzz.sequences=10000 -Danvilshed.fuzz.seed=1`.
 */
class ShareFuzzTest :
    FunSpec({
        val sequences = System.getProperty("anvilshed.fuzz.sequences", "350").toLong()
        val seed = System.getProperty("anvilshed.fuzz.seed", "20261204").toLong()

        test("slots of targets are never taken twice, and all shares of a zone become usable again") {
            ShareFuzz(SCOPE_OF_ZONE_A).run(seed, sequences)
        }

        test("links of a region are never used beyond their capacity, and all shares become usable again") {
            ShareFuzz(SCOPE_OF_REGION).run(seed, sequences)
        }
    })
