package org.anvilshed.gateway

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import org.anvilshed.gateway.testbed.GatewayTestbed
import org.anvilshed.gateway.testbed.ReceivedRequest
import org.anvilshed.gateway.testbed.ScriptedTarget
import org.anvilshed.gateway.testbed.withTargets
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList

private const val STRAY = "HTTP/1.1 200 O"
private const val BAD_GATEWAY = 502

private fun head(request: ReceivedRequest, status: String, fields: String) =
    "HTTP/1.1 $status\r\nX-Id: ${request.id}\r\n$fields\r\n"

private fun GatewayTestbed.post(id: String) = call("/once/", id = id, method = "POST", body = "x")

/** Where a response of a target begins and ends, and what follows from bytes that belong to none. */
class GatewayResponseBoundsTest :
    FunSpec({
        test("a response without a length whose connection is reset is not delivered as complete, at any time") {
            for (pauseMillis in listOf(0L, 1L, 5L, 50L)) {
                withTargets({ request, socket ->
                    ScriptedTarget.write(socket, head(request, "200 OK", "") + "half")
                    Thread.sleep(pauseMillis)
                    ScriptedTarget.reset(socket)
                }) { testbed, _ ->
                    repeat(20) { withClue("$pauseMillis ms") { testbed.post("id-$it").status shouldBe BAD_GATEWAY } }
                }
            }
        }

        val withoutBody = listOf("HEAD" to "200 OK", "GET" to "204 No Content", "GET" to "304 Not Modified")
        for ((method, status) in withoutBody) {
            test("bytes behind the head of a response to $method with ${status.take(3)} belong to no response") {
                for (stray in listOf("ok", STRAY)) {
                    withTargets({ request, socket ->
                        val length = if (status.startsWith("204")) "" else "Content-Length: 2\r\n"
                        if (request.id == "first") {
                            ScriptedTarget.write(socket, head(request, status, length) + stray)
                        } else {
                            ScriptedTarget.respond(socket, request, "500 Error")
                        }
                    }) { testbed, _ ->
                        val first = testbed.raw(
                            "$method /safe/ HTTP/1.1\r\nHost: test.example\r\nX-Id: first\r\nX-Deadline: 2000\r\n" +
                                "Connection: close\r\n\r\n",
                        )
                        first.status shouldBe status.take(3).toInt()
                        testbed.post("second").status shouldBe 500
                    }
                }
            }
        }

        for (interim in listOf("100 Continue", "102 Processing", "103 Early Hints")) {
            test("an interim response is not taken for the response: $interim") {
                withTargets({ request, socket ->
                    ScriptedTarget.write(socket, head(request, interim, "X-Not-Run: 1\r\nX-Leaving: 1\r\n"))
                    Thread.sleep(10)
                    ScriptedTarget.respond(socket, request, "500 Error", body = "own")
                }) { testbed, (target) ->
                    repeat(2) {
                        val response = testbed.post("id-$it")
                        response.status shouldBe 500
                        response.body shouldBe "own"
                    }
                    target.received.size shouldBe 2
                }
            }
        }

        val strayFields = listOf(
            "X-Leaving: 1", "X-Rate-Limit: 0.1", "Retry-After: 30", "Keep-Alive: timeout=0", "Connection: close",
            "Content-Length: 1", "Transfer-Encoding: chunked", "X-Not-Run: 1", "X-Load: 9,9,9",
        )
        for (field in strayFields) {
            test("a field in bytes outside a response takes no effect: $field") {
                for (status in listOf("200 OK", "503 Slow")) {
                    for (isLate in listOf(false, true)) {
                        val stray = "HTTP/1.1 $status\r\n$field\r\n"
                        withTargets({ request, socket ->
                            val before = if (request.id == "second" && isLate) stray else ""
                            val after = if (request.id == "first" && !isLate) stray else ""
                            val response = head(request, "200 OK", "Content-Length: 8\r\n") + "complete"
                            ScriptedTarget.write(socket, before + response + after)
                        }) { testbed, (target) ->
                            withClue("$status, $isLate") {
                                testbed.post("first").body shouldBe "complete"
                                val second = testbed.post("second")
                                if (second.status != BAD_GATEWAY || !isLate) second.body shouldBe "complete"
                                repeat(3) { testbed.post("later-$it").body shouldBe "complete" }
                                target.received.map { it.id }
                                    .shouldContainExactly("first", "second", "later-0", "later-1", "later-2")
                            }
                        }
                    }
                }
            }
        }

        test("a response that is ready is delivered although stray bytes follow in the same segment") {
            withTargets({ request, socket ->
                ScriptedTarget.write(socket, head(request, "200 OK", "Content-Length: 2\r\n") + "ok" + STRAY)
            }) { testbed, (target) ->
                repeat(50) {
                    val response = testbed.post("id-$it")
                    response.status shouldBe 200
                    response.body shouldBe "ok"
                }
                target.received.size shouldBe 50
            }
        }

        test("a streamed response with bytes behind it is delivered whole to a slow caller, on its own connection") {
            val large = "x".repeat(2_000_000)
            val sockets = CopyOnWriteArrayList<Socket>()
            withTargets({ request, socket ->
                sockets.add(socket)
                val body = if (request.id == "first") large else "ok"
                val response = head(request, "200 OK", "Content-Length: ${body.length}\r\n") + body
                ScriptedTarget.write(socket, response + STRAY)
            }) { testbed, _ ->
                testbed.connect().use { socket ->
                    ScriptedTarget.write(
                        socket,
                        "GET /safe/ HTTP/1.1\r\nHost: test.example\r\nX-Id: first\r\nX-Deadline: 2000\r\n\r\n",
                    )
                    Thread.sleep(700)
                    val response = testbed.readResponse(socket)
                    response.complete shouldBe true
                    response.body.length shouldBe large.length
                }
                testbed.call("/safe/", id = "second").body shouldBe "ok"
                sockets.distinct().size shouldBe 2
            }
        }

        val failing: (ReceivedRequest, Socket) -> Unit = { request, socket ->
            ScriptedTarget.respond(socket, request, "500 Error")
        }

        test("a retry after a failure goes to another target") {
            withTargets(failing, { request, socket -> ScriptedTarget.respond(socket, request) }) { testbed, targets ->
                repeat(10) { testbed.call("/safe/", id = "id-$it").status shouldBe 200 }
                for (target in targets) {
                    target.received.groupingBy {
                        it.id
                    }.eachCount().values.forEach { it shouldBe 1 }
                }
            }
        }

        test("a retry after a failure may go to a new process of the same name and address, on a new connection") {
            val release = CopyOnWriteArrayList<() -> Unit>()
            val connections = CopyOnWriteArrayList<Socket>()
            ScriptedTarget { request, socket ->
                connections.add(socket)
                release.forEach { it() }
                ScriptedTarget.respond(socket, request, if (connections.size == 1) "500 Error" else "200 OK")
            }.use { target ->
                GatewayTestbed().use { testbed ->
                    testbed.config(1)
                    testbed.target("target", target, sequence = 1)
                    testbed.awaitReady()
                    // The process ends while it has the request, and another one starts with its name and address.
                    release.add {
                        testbed.target("target", target, sequence = 2, startedAt = 2)
                        Thread.sleep(100)
                    }
                    testbed.call("/safe/", id = "id").status shouldBe 200
                    connections.size shouldBe 2
                    connections.distinct().size shouldBe 2
                }
            }
        }
    })
