package org.anvilshed.gateway

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeIn
import io.kotest.matchers.comparables.shouldBeLessThanOrEqualTo
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import org.anvilshed.gateway.testbed.CallerResponse
import org.anvilshed.gateway.testbed.FaultyClock
import org.anvilshed.gateway.testbed.GatewayTestbed
import org.anvilshed.gateway.testbed.GatewayTestbed.Companion.await
import org.anvilshed.gateway.testbed.ReceivedRequest
import org.anvilshed.gateway.testbed.ScriptedTarget
import java.net.Socket
import java.net.SocketException
import java.net.SocketTimeoutException

private val LARGE_BODY = "x".repeat(600_000)

/** More than the calls of the clock that one request makes. */
private const val MAXIMUM_CALLS = 300

/** Slots of a target of the testbed, each of which may have an idle connection. */
private const val SLOTS = 4

private val targetBehaviours = mapOf<String, (ReceivedRequest, Socket) -> Unit>(
    "responds" to { request, socket -> ScriptedTarget.respond(socket, request) },
    "fails" to { request, socket -> ScriptedTarget.respond(socket, request, "500 Internal Server Error") },
    "sheds" to { request, socket ->
        val fields = "X-Not-Run: 1\r\nRetry-After: 0.001\r\nX-Rate-Limit: 900\r\n"
        ScriptedTarget.respond(socket, request, "503 Service Unavailable", extra = fields)
    },
    "breaks off" to { _, socket -> socket.close() },
    "streams" to { request, socket -> ScriptedTarget.respond(socket, request, body = LARGE_BODY) },
)

/** Response to a request, or one with status 0 if the connection ended without a complete head. */
private fun GatewayTestbed.callOrClosed(path: String, id: String, method: String): CallerResponse = try {
    call(path, id, method, body = "x".takeIf { method == "POST" })
} catch (_: SocketException) {
    CallerResponse(0, emptyMap(), "", complete = false)
} catch (silent: SocketTimeoutException) {
    throw AssertionError("$id got neither a response nor the end of its connection", silent)
}

class GatewayUnexpectedFaultTest :
    FunSpec({
        for ((behaviour, respond) in targetBehaviours) {
            // Guards against requests without an answer, and slots without an end, after an unexpected exception.
            test("a fault anywhere in the work of a request leaves it with a true answer, if the target $behaviour") {
                val clock = FaultyClock()
                ScriptedTarget(respond).use { target ->
                    GatewayTestbed(clock = clock::now).use { testbed ->
                        testbed.config(1)
                        testbed.target("target", target)
                        testbed.awaitReady()
                        for ((path, method) in listOf("/safe/" to "GET", "/once/" to "POST")) {
                            var failures = 0
                            for (calls in 0 until MAXIMUM_CALLS) {
                                clock.failAfter(calls)
                                val id = "$method-$calls"
                                val response = testbed.callOrClosed(path, id, method)
                                val sends = target.received.count { it.id == id }
                                withClue(
                                    "$id: status ${response.status}, ${response.body.take(100)}, sent $sends times",
                                ) {
                                    response.status shouldBeIn setOf(200, 500, 502, 503, 0)
                                    val hasRun = sends > 0 && behaviour != "sheds"
                                    if (response.status == 503) hasRun shouldBe false
                                    if (response.status == 200 && response.complete) {
                                        hasRun shouldBe true
                                        response.body shouldBe if (behaviour == "streams") LARGE_BODY else "ok"
                                    }
                                    if (method == "POST" && behaviour != "sheds") sends shouldBeLessThanOrEqualTo 1
                                }
                                if (!clock.hasFailed) break
                                failures++
                            }
                            failures shouldBeGreaterThan 5
                            failures shouldBeLessThanOrEqualTo MAXIMUM_CALLS - 1
                        }
                    }
                }
            }

            // Guards against a target that gets no more requests because the connections of failed ones count as open.
            test("a fault anywhere in the work of a request keeps no connection, if the target $behaviour") {
                val clock = FaultyClock()
                ScriptedTarget(respond).use { target ->
                    GatewayTestbed(clock = clock::now).use { testbed ->
                        testbed.config(1)
                        testbed.target("target", target)
                        testbed.awaitReady()
                        for (calls in 0 until MAXIMUM_CALLS) {
                            clock.failAfter(calls)
                            testbed.callOrClosed("/safe/", "id-$calls", "GET")
                            if (!clock.hasFailed) break
                        }
                        await { target.openConnections <= SLOTS }
                    }
                }
            }
        }
    })
