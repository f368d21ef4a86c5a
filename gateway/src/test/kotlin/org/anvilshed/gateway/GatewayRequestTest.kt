package org.anvilshed.gateway

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import org.anvilshed.gateway.testbed.GatewayTestbed
import org.anvilshed.gateway.testbed.ReceivedRequest
import org.anvilshed.gateway.testbed.ScriptedTarget
import java.net.Socket
import java.util.concurrent.CountDownLatch
import kotlin.concurrent.thread

/** Runs [test] with a gateway whose targets answer as [answers] say. */
private fun withTargets(
    vararg answers: (ReceivedRequest, Socket) -> Unit,
    test: (GatewayTestbed, List<ScriptedTarget>) -> Unit,
) {
    val targets = answers.map(::ScriptedTarget)
    GatewayTestbed().use { bed ->
        bed.config(1)
        targets.forEachIndexed { index, target -> bed.target("target-$index", target) }
        bed.awaitReady()
        test(bed, targets)
    }
    targets.forEach { it.close() }
}

private val respond: (ReceivedRequest, Socket) -> Unit = { request, socket -> ScriptedTarget.respond(socket, request) }

class GatewayRequestTest :
    FunSpec({
        test("a request reaches a target unchanged but for the deadline and the expected target") {
            withTargets(respond) { bed, targets ->
                val answer = bed.call("/once/a?b=c", id = "id-7", method = "POST", body = "body", deadline = 1_000)
                answer.status shouldBe 200
                answer.body shouldBe "ok"
                answer.headers["x-stamp"] shouldBe "stamp"
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
            withTargets(respond) { bed, _ -> bed.call("/none/").status shouldBe 404 }
            GatewayTestbed().use { it.call("/safe/").status shouldBe 503 }
        }

        test("a request that must not run twice is not sent again after its connection broke") {
            withTargets({ _, socket ->
                ScriptedTarget.reset(socket)
            }, { _, socket -> ScriptedTarget.reset(socket) }) { bed, targets ->
                bed.call("/once/", method = "POST", body = "x").status shouldBe 502
                targets.sumOf { it.received.size } shouldBe 1
            }
        }

        test("a request that may be repeated is sent to another target after its connection broke") {
            withTargets({ _, socket -> ScriptedTarget.reset(socket) }, respond) { bed, _ ->
                repeat(4) { bed.call("/safe/", id = "id-$it").status shouldBe 200 }
            }
        }

        test("a target that did not run a request makes it go to another one, also if it must not run twice") {
            val shed: (ReceivedRequest, Socket) -> Unit = { request, socket ->
                ScriptedTarget.respond(socket, request, "503 Service Unavailable", extra = "X-Not-Run: 1\r\n")
            }
            withTargets(shed, respond) { bed, _ ->
                repeat(4) { bed.call("/once/", id = "id-$it", method = "POST", body = "x").status shouldBe 200 }
            }
            withTargets(shed, shed) { bed, targets ->
                val answer = bed.call("/once/", method = "POST", body = "x")
                answer.status shouldBe 503
                (answer.headers.getValue("retry-after").toDouble() > 0) shouldBe true
                targets.sumOf { it.received.size } shouldBe 2
            }
        }

        test("a refusal after an earlier send that may have run is not called not run") {
            val shed: (ReceivedRequest, Socket) -> Unit = { request, socket ->
                ScriptedTarget.respond(socket, request, "503 Service Unavailable", extra = "X-Not-Run: 1\r\n")
            }
            withTargets({ _, socket -> ScriptedTarget.reset(socket) }, shed) { bed, targets ->
                val answer = bed.call("/safe/")
                // If the first target was tried first, it may have run the request.
                if (targets.first().received.isNotEmpty()) answer.status shouldBe 502
            }
        }

        test("the answer of another request is never passed on") {
            val foreign: (ReceivedRequest, Socket) -> Unit = { _, socket ->
                ScriptedTarget.write(
                    socket,
                    "HTTP/1.1 200 OK\r\nX-Id: other\r\nX-Stamp: s\r\nContent-Length: 5\r\n\r\nwrong",
                )
            }
            withTargets(foreign) { bed, _ ->
                bed.call("/once/", method = "POST", body = "x").status shouldBe 502
            }
        }

        test("bytes after a complete answer do not become the answer of the next request") {
            val extra: (ReceivedRequest, Socket) -> Unit = { request, socket ->
                ScriptedTarget.respond(socket, request, body = request.id)
                ScriptedTarget.respond(socket, request, body = "extra")
            }
            withTargets(extra) { bed, _ ->
                repeat(10) {
                    val answer = bed.call("/safe/", id = "id-$it")
                    if (answer.status == 200) answer.body shouldBe "id-$it"
                }
            }
        }

        test("an answer without length counts as whole only if its connection ends in order") {
            val head = "HTTP/1.1 200 OK\r\nX-Stamp: s\r\n"
            withTargets({ request, socket ->
                ScriptedTarget.write(socket, "${head}X-Id: ${request.id}\r\n\r\nwhole")
                socket.close()
            }) { bed, _ ->
                val answer = bed.call("/once/", method = "POST", body = "x")
                answer.status shouldBe 200
                answer.body shouldBe "whole"
            }
            withTargets({ request, socket ->
                ScriptedTarget.write(socket, "${head}X-Id: ${request.id}\r\n\r\nhalf")
                Thread.sleep(100)
                ScriptedTarget.reset(socket)
            }) { bed, _ -> bed.call("/once/", method = "POST", body = "x").status shouldBe 502 }
        }

        test("an answer that breaks off before its stated length is not passed on as whole") {
            withTargets({ request, socket ->
                ScriptedTarget.write(
                    socket,
                    "HTTP/1.1 200 OK\r\nX-Id: ${request.id}\r\nContent-Length: 100\r\n\r\nhalf",
                )
                socket.close()
            }) { bed, _ -> bed.call("/once/", method = "POST", body = "x").status shouldBe 502 }
        }

        test("a large answer is streamed whole, and visibly incomplete if its target breaks off") {
            val large = "x".repeat(1_000_000)
            withTargets({ request, socket -> ScriptedTarget.respond(socket, request, body = large) }) { bed, _ ->
                val answer = bed.call("/safe/")
                answer.complete shouldBe true
                answer.body shouldBe large
            }
            withTargets({ request, socket ->
                val head = "HTTP/1.1 200 OK\r\nX-Id: ${request.id}\r\nContent-Length: 2000000\r\n\r\n"
                ScriptedTarget.write(socket, head + large)
                socket.close()
            }) { bed, _ -> bed.call("/once/", method = "POST", body = "x").complete shouldBe false }
        }

        test("a body over the limit gets 413 and reaches no target") {
            withTargets(respond) { bed, targets ->
                bed.call("/once/", method = "POST", body = "x".repeat(70_000)).status shouldBe 413
                targets.single().received shouldHaveSize 0
            }
        }

        test("a request whose framing is ambiguous is refused, so that nothing is smuggled in its body") {
            withTargets(respond) { bed, targets ->
                val smuggled = "GET /safe/smuggled HTTP/1.1\r\nHost: test.example\r\nX-Id: id-2\r\n\r\n"
                val answer = bed.raw(
                    "POST /safe/ HTTP/1.1\r\nHost: test.example\r\nX-Id: id-1\r\n" +
                        "Content-Length: ${smuggled.length}\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n$smuggled",
                )
                answer.status shouldBe 400
                targets.single().received.filter { "smuggled" in it.line } shouldHaveSize 0
            }
        }

        test("a route's timeout ends a request whose target is silent, and the target's connection with it") {
            withTargets({ _, _ -> Thread.sleep(60_000) }) { bed, _ ->
                bed.call("/once/", method = "POST", body = "x", deadline = 300).status shouldBe 504
            }
        }

        test("a connection whose request head never ends is closed, and so is one that idles") {
            withTargets(respond) { bed, _ ->
                bed.connect().use { socket ->
                    ScriptedTarget.write(socket, "GET /safe/ HTT")
                    socket.getInputStream().read() shouldBe -1
                }
                bed.connect().use { it.getInputStream().read() shouldBe -1 }
            }
        }

        test("a kept connection serves one request after the other") {
            withTargets(respond) { bed, _ ->
                bed.connect().use { socket ->
                    repeat(3) {
                        ScriptedTarget.write(
                            socket,
                            "GET /safe/ HTTP/1.1\r\nHost: test.example\r\nX-Id: id-$it\r\n\r\n",
                        )
                        bed.readAnswer(socket).headers["x-id"] shouldBe "id-$it"
                    }
                }
            }
        }

        test("a request whose caller left while a target had it is not sent to another one") {
            val left = CountDownLatch(1)
            val shedLate: (ReceivedRequest, Socket) -> Unit = { request, socket ->
                left.await()
                ScriptedTarget.respond(socket, request, "503 Service Unavailable", extra = "X-Not-Run: 1\r\n")
            }
            withTargets(shedLate, shedLate) { bed, targets ->
                bed.connect().use { socket ->
                    val head = "POST /once/ HTTP/1.1\r\nHost: test.example\r\nX-Id: id-1\r\nContent-Length: 1\r\n\r\n"
                    ScriptedTarget.write(socket, head + "x")
                    GatewayTestbed.await { targets.sumOf { it.received.size } == 1 }
                }
                Thread.sleep(200)
                left.countDown()
                Thread.sleep(500)
                targets.sumOf { it.received.size } shouldBe 1
            }
        }

        // Guards against a VM that was busy, or had just started, and sends on what nobody waits for any more.
        test("a request whose caller had left before the VM read it is not sent to a target") {
            withTargets(respond) { bed, (target) ->
                val busy = CountDownLatch(1)
                val blocked = thread { bed.onEventLoop { busy.await() } }
                repeat(5) { number ->
                    bed.connect().use { socket ->
                        val head = "GET /safe/ HTTP/1.1\r\nHost: test.example\r\nX-Id: id-$number\r\n\r\n"
                        ScriptedTarget.write(socket, head)
                    }
                }
                Thread.sleep(100)
                busy.countDown()
                blocked.join()
                Thread.sleep(500)
                target.received shouldHaveSize 0
            }
        }
    })
