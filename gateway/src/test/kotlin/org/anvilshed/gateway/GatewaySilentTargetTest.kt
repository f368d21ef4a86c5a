package org.anvilshed.gateway

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.anvilshed.gateway.testbed.GatewayTestbed
import org.anvilshed.gateway.testbed.ScriptedTarget
import org.anvilshed.gateway.testbed.withTargets
import java.util.concurrent.CompletableFuture

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

        // Guards against a request that a stopping VM breaks off at its target for another one that does not take it.
        test("during a stop, a late response reaches the caller although another target is registered") {
            ScriptedTarget { request, socket ->
                if (request.id.startsWith("late")) Thread.sleep(1_000)
                ScriptedTarget.respond(socket, request)
            }.use { target ->
                GatewayTestbed().use { testbed ->
                    testbed.config(1)
                    testbed.target("target", target)
                    testbed.awaitReady()
                    repeat(60) { testbed.call("/safe/", id = "before-$it").status shouldBe 200 }
                    val late = CompletableFuture.supplyAsync { testbed.call("/safe/", id = "late") }
                    GatewayTestbed.await { target.received.any { it.id == "late" } }
                    val unreachable = ScriptedTarget { _, _ -> }
                    testbed.target("unreachable", unreachable)
                    unreachable.close()
                    testbed.awaitReady()
                    val stopping = testbed.stopInBackground()
                    late.get().status shouldBe 200
                    stopping.get()
                }
            }
        }
    })
