package org.anvilshed.gateway

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.anvilshed.gateway.testbed.ScriptedTarget
import org.anvilshed.gateway.testbed.withTargets

class GatewaySilentTargetTest :
    FunSpec({
        // Guards against a request that is broken off at its only target long before its time limit.
        test("a late response of the only target reaches the caller") {
            withTargets({ request, socket ->
                if (request.id == "late") Thread.sleep(1_000)
                ScriptedTarget.respond(socket, request)
            }) { testbed, _ ->
                // Short processing times shorten the time after which a target counts as silent.
                repeat(60) { testbed.call("/safe/", id = "before-$it").status shouldBe 200 }
                testbed.call("/safe/", id = "late").status shouldBe 200
            }
        }
    })
