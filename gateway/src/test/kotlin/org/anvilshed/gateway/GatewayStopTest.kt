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
        test("a stop ends readiness at once, answers the request in flight and closes its connection after it") {
            val release = CountDownLatch(1)
            val target = ScriptedTarget { request, socket ->
                release.await()
                ScriptedTarget.respond(socket, request)
            }
            GatewayTestbed().use { bed ->
                bed.config(1)
                bed.target("target", target)
                bed.awaitReady()
                bed.connect().use { socket ->
                    ScriptedTarget.write(socket, "GET /safe/ HTTP/1.1\r\nHost: test.example\r\nX-Id: id-1\r\n\r\n")
                    await { target.received.size == 1 }
                    val stopping = thread { bed.onEventLoop { bed.gateway.stop() } }
                    await { !bed.onEventLoop { bed.gateway.isReady } }
                    release.countDown()
                    val answer = bed.readAnswer(socket)
                    answer.status shouldBe 200
                    answer.headers["connection"] shouldBe "close"
                    stopping.join()
                }
            }
            target.close()
        }

        test("a VM that is leaving still serves callers that come with an older look-up answer") {
            val target = ScriptedTarget { request, socket -> ScriptedTarget.respond(socket, request) }
            GatewayTestbed().use { bed ->
                bed.config(1)
                bed.target("target", target)
                bed.awaitReady()
                val stopping = thread { bed.onEventLoop { bed.gateway.stop() } }
                await { !bed.onEventLoop { bed.gateway.isReady } }
                bed.call("/safe/").status shouldBe 200
                stopping.join()
            }
            target.close()
        }
    })
