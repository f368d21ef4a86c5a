package org.anvilshed.gateway.testbed

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.milliseconds

class GatewayTestbedTest :
    FunSpec({
        // Guards against tests whose first requests are refused while the gateway knows only some of their targets.
        test("the gateway of a test knows all targets once it is ready, also if the store reports them late") {
            ScriptedTarget { request, socket -> ScriptedTarget.respond(socket, request) }.use { target ->
                GatewayTestbed().use { testbed ->
                    testbed.config(1)
                    testbed.awaitReady()
                    testbed.store.changeDelay = 300.milliseconds
                    testbed.target("target", target)
                    testbed.awaitReady()
                    testbed.call("/safe/").status shouldBe 200
                }
            }
        }
    })
