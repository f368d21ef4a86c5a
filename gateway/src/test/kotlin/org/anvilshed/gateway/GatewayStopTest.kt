package org.anvilshed.gateway

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.anvilshed.gateway.testbed.GatewayTestbed
import org.anvilshed.gateway.testbed.GatewayTestbed.Companion.await
import org.anvilshed.gateway.testbed.ScriptedTarget
import java.util.concurrent.CountDownLatch
import kotlin.concurrent.thread

class GatewayStopTest :
    FunSpec({
        test("stop ends readiness at once, completes the request in progress and then closes its connection") {
            val release = CountDownLatch(1)
            val target = ScriptedTarget { request, socket ->
                release.await()
                ScriptedTarget.respond(socket, request)
            }
            GatewayTestbed().use { testbed ->
                testbed.config(1)
                testbed.target("target", target)
                testbed.awaitReady()
                testbed.connect().use { socket ->
                    ScriptedTarget.write(socket, "GET /safe/ HTTP/1.1\r\nHost: test.example\r\nX-Id: id-1\r\n\r\n")
                    await { target.received.size == 1 }
                    val stopping = thread { testbed.onEventLoop { testbed.gateway.stop() } }
                    await { !testbed.onEventLoop { testbed.gateway.isReady } }
                    release.countDown()
                    val response = testbed.readResponse(socket)
                    response.status shouldBe 200
                    response.headers["connection"] shouldBe "close"
                    stopping.join()
                }
            }
            target.close()
        }

        test("a stopping VM still serves callers that use an earlier lookup response") {
            val target = ScriptedTarget { request, socket -> ScriptedTarget.respond(socket, request) }
            GatewayTestbed().use { testbed ->
                testbed.config(1)
                testbed.target("target", target)
                testbed.awaitReady()
                val stopping = thread { testbed.onEventLoop { testbed.gateway.stop() } }
                await { !testbed.onEventLoop { testbed.gateway.isReady } }
                testbed.call("/safe/").status shouldBe 200
                stopping.join()
            }
            target.close()
        }
    })
