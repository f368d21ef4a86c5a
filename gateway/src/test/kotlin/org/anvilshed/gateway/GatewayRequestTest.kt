package org.anvilshed.gateway

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import org.anvilshed.gateway.testbed.GatewayTestbed
import org.anvilshed.gateway.testbed.ReceivedRequest
import org.anvilshed.gateway.testbed.ScriptedTarget
import org.anvilshed.gateway.testbed.withTargets
import java.net.Socket
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CountDownLatch
import kotlin.concurrent.thread

private val respond: (ReceivedRequest, Socket) -> Unit = { request, socket -> ScriptedTarget.respond(socket, request) }

class GatewayRequestTest :
    FunSpec({
        test("a request reaches a target unchanged except for the headers of the deadline and the expected target") {
            withTargets(respond) { testbed, targets ->
                val response =
                    testbed.call("/once/a?b=c", id = "id-7", method = "POST", body = "body", deadline = 1_000)
                response.status shouldBe 200
                response.body shouldBe "ok"
                response.headers["x-stamp"] shouldBe "stamp"
                val received = targets.single().received.single()
                received.line shouldBe "POST /once/a?b=c HTTP/1.1"
                received.headers["host"] shouldBe "test.example"
                received.headers["x-id"] shouldBe "id-7"
                received.headers["x-target"] shouldBe "target-0"
                received.body shouldBe "body"
                received.headers.getValue("x-deadline").toInt() shouldBeLessThanOrEqual 1_000
            }
        }

        test("an unknown route gets 404, and every request gets 503 while no config is known") {
            withTargets(respond) { testbed, _ -> testbed.call("/none/").status shouldBe 404 }
            GatewayTestbed().use { it.call("/safe/").status shouldBe 503 }
        }

        test("a non-idempotent request is not sent again after its connection failed") {
            withTargets({ _, socket ->
                ScriptedTarget.reset(socket)
            }, { _, socket -> ScriptedTarget.reset(socket) }) { testbed, targets ->
                testbed.call("/once/", method = "POST", body = "x").status shouldBe 502
                targets.sumOf { it.received.size } shouldBe 1
            }
        }

        // Guards against bookings that fail because their target forgot an idle connection sooner than it stated.
        test("a non-idempotent request is not sent on a connection that was idle long enough to be forgotten") {
            val lastUsed = ConcurrentHashMap<Socket, Long>()
            withTargets({ request, socket ->
                val now = System.nanoTime()
                val idleMillis = lastUsed.put(socket, now)?.let { (now - it) / 1_000_000 } ?: 0
                if (idleMillis >= 300) ScriptedTarget.reset(socket) else ScriptedTarget.respond(socket, request)
            }) { testbed, _ ->
                repeat(6) { number ->
                    testbed.call("/once/", id = "id-$number", method = "POST", body = "x").status shouldBe 200
                    Thread.sleep(350)
                }
            }
        }

        test("an idempotent request is sent to another target after its connection failed") {
            withTargets({ _, socket -> ScriptedTarget.reset(socket) }, respond) { testbed, _ ->
                repeat(4) { testbed.call("/safe/", id = "id-$it").status shouldBe 200 }
            }
        }

        test("a request that a target did not run is sent to another target, also if it is not idempotent") {
            val refuse: (ReceivedRequest, Socket) -> Unit = { request, socket ->
                ScriptedTarget.respond(socket, request, "503 Service Unavailable", extra = "X-Not-Run: 1\r\n")
            }
            withTargets(refuse, respond) { testbed, _ ->
                repeat(4) { testbed.call("/once/", id = "id-$it", method = "POST", body = "x").status shouldBe 200 }
            }
            withTargets(refuse, refuse) { testbed, targets ->
                val response = testbed.call("/once/", method = "POST", body = "x")
                response.status shouldBe 503
                (response.headers.getValue("retry-after").toDouble() > 0) shouldBe true
                targets.sumOf { it.received.size } shouldBe 2
            }
        }

        test("a refusal after an earlier attempt that may have run is not reported as not run") {
            val refuse: (ReceivedRequest, Socket) -> Unit = { request, socket ->
                ScriptedTarget.respond(socket, request, "503 Service Unavailable", extra = "X-Not-Run: 1\r\n")
            }
            withTargets({ _, socket -> ScriptedTarget.reset(socket) }, refuse) { testbed, targets ->
                val response = testbed.call("/safe/")
                // The first target may have run the request if it was tried first.
                if (targets.first().received.isNotEmpty()) response.status shouldBe 502
            }
        }

        test("the response to another request is never forwarded") {
            val respondToOther: (ReceivedRequest, Socket) -> Unit = { _, socket ->
                ScriptedTarget.write(
                    socket,
                    "HTTP/1.1 200 OK\r\nX-Id: other\r\nX-Stamp: s\r\nContent-Length: 5\r\n\r\nwrong",
                )
            }
            withTargets(respondToOther) { testbed, _ ->
                testbed.call("/once/", method = "POST", body = "x").status shouldBe 502
            }
        }

        test("bytes after a complete response do not become the response to the next request") {
            val extra: (ReceivedRequest, Socket) -> Unit = { request, socket ->
                ScriptedTarget.respond(socket, request, body = request.id)
                ScriptedTarget.respond(socket, request, body = "extra")
            }
            withTargets(extra) { testbed, _ ->
                repeat(10) {
                    val response = testbed.call("/safe/", id = "id-$it")
                    if (response.status == 200) response.body shouldBe "id-$it"
                }
            }
        }

        test("a response without a length is complete only if its connection is closed without a reset") {
            val head = "HTTP/1.1 200 OK\r\nX-Stamp: s\r\n"
            withTargets({ request, socket ->
                ScriptedTarget.write(socket, "${head}X-Id: ${request.id}\r\n\r\nwhole")
                socket.close()
            }) { testbed, _ ->
                val response = testbed.call("/once/", method = "POST", body = "x")
                response.status shouldBe 200
                response.body shouldBe "whole"
            }
            withTargets({ request, socket ->
                ScriptedTarget.write(socket, "${head}X-Id: ${request.id}\r\n\r\nhalf")
                Thread.sleep(100)
                ScriptedTarget.reset(socket)
            }) { testbed, _ -> testbed.call("/once/", method = "POST", body = "x").status shouldBe 502 }
        }

        test("a response that ends before its stated length is not forwarded as complete") {
            withTargets({ request, socket ->
                ScriptedTarget.write(
                    socket,
                    "HTTP/1.1 200 OK\r\nX-Id: ${request.id}\r\nContent-Length: 100\r\n\r\nhalf",
                )
                socket.close()
            }) { testbed, _ -> testbed.call("/once/", method = "POST", body = "x").status shouldBe 502 }
        }

        test("a large response is streamed completely, and is visibly incomplete if the target ends it early") {
            val large = "x".repeat(1_000_000)
            withTargets({ request, socket -> ScriptedTarget.respond(socket, request, body = large) }) { testbed, _ ->
                val response = testbed.call("/safe/")
                response.complete shouldBe true
                response.body shouldBe large
            }
            withTargets({ request, socket ->
                val head = "HTTP/1.1 200 OK\r\nX-Id: ${request.id}\r\nContent-Length: 2000000\r\n\r\n"
                ScriptedTarget.write(socket, head + large)
                socket.close()
            }) { testbed, _ -> testbed.call("/once/", method = "POST", body = "x").complete shouldBe false }
        }

        test("a request whose body exceeds the limit gets 413 and reaches no target") {
            withTargets(respond) { testbed, targets ->
                testbed.call("/once/", method = "POST", body = "x".repeat(70_000)).status shouldBe 413
                targets.single().received shouldHaveSize 0
            }
        }

        test("a request with ambiguous framing is rejected, so that its body can't smuggle another request") {
            withTargets(respond) { testbed, targets ->
                val smuggled = "GET /safe/smuggled HTTP/1.1\r\nHost: test.example\r\nX-Id: id-2\r\n\r\n"
                val response = testbed.raw(
                    "POST /safe/ HTTP/1.1\r\nHost: test.example\r\nX-Id: id-1\r\n" +
                        "Content-Length: ${smuggled.length}\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n$smuggled",
                )
                response.status shouldBe 400
                targets.single().received.filter { "smuggled" in it.line } shouldHaveSize 0
            }
        }

        test("a request whose target does not respond gets 504 at its deadline") {
            withTargets({ _, _ -> Thread.sleep(60_000) }) { testbed, _ ->
                testbed.call("/once/", method = "POST", body = "x", deadline = 300).status shouldBe 504
            }
        }

        test("a connection with an incomplete request head and an idle connection are closed") {
            withTargets(respond) { testbed, _ ->
                testbed.connect().use { socket ->
                    ScriptedTarget.write(socket, "GET /safe/ HTT")
                    socket.getInputStream().read() shouldBe -1
                }
                testbed.connect().use { it.getInputStream().read() shouldBe -1 }
            }
        }

        test("a persistent connection serves several requests in sequence") {
            withTargets(respond) { testbed, _ ->
                testbed.connect().use { socket ->
                    repeat(3) {
                        ScriptedTarget.write(
                            socket,
                            "GET /safe/ HTTP/1.1\r\nHost: test.example\r\nX-Id: id-$it\r\n\r\n",
                        )
                        testbed.readResponse(socket).headers["x-id"] shouldBe "id-$it"
                    }
                }
            }
        }

        test("a request whose caller disconnected while a target had the request is not sent to another target") {
            val released = CountDownLatch(1)
            val refuseLate: (ReceivedRequest, Socket) -> Unit = { request, socket ->
                released.await()
                ScriptedTarget.respond(socket, request, "503 Service Unavailable", extra = "X-Not-Run: 1\r\n")
            }
            withTargets(refuseLate, refuseLate) { testbed, targets ->
                testbed.connect().use { socket ->
                    val head = "POST /once/ HTTP/1.1\r\nHost: test.example\r\nX-Id: id-1\r\nContent-Length: 1\r\n\r\n"
                    ScriptedTarget.write(socket, head + "x")
                    GatewayTestbed.await { targets.sumOf { it.received.size } == 1 }
                }
                Thread.sleep(200)
                released.countDown()
                Thread.sleep(500)
                targets.sumOf { it.received.size } shouldBe 1
            }
        }

        // Guards against a busy or newly started VM that forwards requests whose callers no longer wait.
        test("a request whose caller disconnected before the VM read the request is not sent to a target") {
            withTargets(respond) { testbed, (target) ->
                val unblock = CountDownLatch(1)
                val blocked = thread { testbed.onEventLoop { unblock.await() } }
                repeat(5) { number ->
                    testbed.connect().use { socket ->
                        val head = "GET /safe/ HTTP/1.1\r\nHost: test.example\r\nX-Id: id-$number\r\n\r\n"
                        ScriptedTarget.write(socket, head)
                    }
                }
                Thread.sleep(100)
                unblock.countDown()
                blocked.join()
                Thread.sleep(500)
                target.received shouldHaveSize 0
            }
        }
    })
