package org.anvilshed.core.seats

import io.kotest.core.spec.style.FunSpec

/**
 * Guards against targets and links that are used beyond their limits, and against shares that remain unusable, under
 * random sequences of faults. For longer runs:
 * `-Danvilshed.fuzz.sequences=10000 -Danvilshed.fuzz.seed=1`.
 */
class ShareFuzzTest :
    FunSpec({
        val sequences = System.getProperty("anvilshed.fuzz.sequences", "350").toLong()
        val seed = System.getProperty("anvilshed.fuzz.seed", "20261204").toLong()

        test("no slot of a target is used twice at a time, and all shares of a zone become usable again after faults") {
            ShareFuzz(SCOPE_OF_ZONE_A).run(seed, sequences)
        }

        test("links of a region are not used beyond their capacity, and all shares become usable again after faults") {
            ShareFuzz(SCOPE_OF_REGION).run(seed, sequences)
        }
    })
