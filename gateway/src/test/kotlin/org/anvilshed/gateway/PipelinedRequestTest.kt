package org.anvilshed.gateway

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import org.anvilshed.gateway.testbed.GatewayTestbed
import org.anvilshed.gateway.testbed.ReceivedRequest
import org.anvilshed.gateway.testbed.ScriptedTarget
import org.anvilshed.gateway.testbed.withTargets
import java.net.Socket
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger

private fun get(id: String, path: String = "/safe/", headers: String = "") =
    "GET $path HTTP/1.1\r\nHost: test.example\r\nX-Id: $id\r\n$headers\r\n"

private fun post(id: String) = "POST /once/ HTTP/1.1\r\nHost: test.example\r\nX-Id: $id\r\nContent-Length: 1\r\n\r\nx"

/** Checks that a request is answered and [invalid] behind it is rejected, and that the connection then closes. */
private fun shouldRejectBehindRequest(testbed: GatewayTestbed, invalid: String) {
    testbed.connect().use { socket ->
        ScriptedTarget.write(socket, get("0") + invalid)
        testbed.readResponse(socket).status shouldBe 200
        testbed.readResponse(socket).status shouldBe 400
        socket.getInputStream().read() shouldBe -1
    }
}

private fun respondWithId(request: ReceivedRequest, socket: Socket) =
    ScriptedTarget.respond(socket, request, body = request.id)

/** Requests that a caller sends before earlier ones of the same connection are answered. */
class PipelinedRequestTest :
    FunSpec({
        test("requests behind an unanswered one are sent to targets at once, and responses keep the order") {
            val allArrived = CountDownLatch(3)
            withTargets({ request, socket ->
                allArrived.countDown()
                allArrived.await(10, TimeUnit.SECONDS)
                // The last request is answered first.
                Thread.sleep(100L * (3 - request.id.toLong()))
                respondWithId(request, socket)
            }) { testbed, _ ->
                testbed.connect().use { socket ->
                    ScriptedTarget.write(socket, get("0") + get("1") + get("2"))
                    val responses = List(3) { testbed.readResponse(socket) }
                    responses.map { it.status } shouldContainExactly listOf(200, 200, 200)
                    responses.map { it.body } shouldContainExactly listOf("0", "1", "2")
                }
            }
        }

        test("the time limit of a pipelined request counts from its arrival, not from the end of the one before it") {
            withTargets({ request, socket ->
                Thread.sleep(400)
                respondWithId(request, socket)
            }) { testbed, (target) ->
                testbed.connect().use { socket ->
                    val headers = "X-Deadline: 1500\r\n"
                    ScriptedTarget.write(socket, get("0", headers = headers) + get("1", headers = headers))
                    repeat(2) { testbed.readResponse(socket).status shouldBe 200 }
                }
                target.received.forEach { it.headers.getValue("x-deadline").toInt() shouldBeLessThanOrEqual 1_500 }
                // Both were sent before the first was answered.
                (target.received.minOf { it.headers.getValue("x-deadline").toInt() } > 1_100) shouldBe true
            }
        }

        test("ambiguous framing behind another request is rejected, so that its body can't smuggle a request") {
            withTargets(::respondWithId) { testbed, (target) ->
                val smuggled = get("smuggled", "/safe/smuggled")
                for (encoding in listOf("chunked", "identity", "gzip, chunked", " chunked")) {
                    val ambiguous = "POST /safe/ HTTP/1.1\r\nHost: test.example\r\nX-Id: 1\r\n" +
                        "Content-Length: ${smuggled.length}\r\nTransfer-Encoding: $encoding\r\n\r\n0\r\n\r\n"
                    shouldRejectBehindRequest(testbed, ambiguous + smuggled)
                }
                target.received.map { it.id }.toSet() shouldBe setOf("0")
            }
        }

        // Guards against a caller that waits for an answer to a head that the decoder rejected.
        test("a request with a malformed head is rejected at once, and its connection closes") {
            withTargets(::respondWithId) { testbed, (target) ->
                val malformed = listOf(
                    "Content-Length: abc",
                    "Content-Length: -1",
                    "Content-Length: 1\r\nContent-Length: 2",
                    "Content-Length: 99999999999999999999",
                    "Header : value",
                )
                for (header in malformed) {
                    shouldRejectBehindRequest(testbed, get("1", headers = "$header\r\n"))
                }
                target.received.map { it.id }.toSet() shouldBe setOf("0")
            }
        }

        // RFC 9112, section 2.2: a line ends with both characters; a recipient may refuse other ends.
        test("a head whose lines end with bare line feeds is refused, and its connection closes") {
            withTargets(::respondWithId) { testbed, (target) ->
                shouldRejectBehindRequest(testbed, get("1").replace("\r\n", "\n"))
                shouldRejectBehindRequest(testbed, get("1", headers = "X-Field: 1\nX-Other: 2\r\n"))
                target.received.map { it.id }.toSet() shouldBe setOf("0")
            }
        }

        test("a body that looks like an ambiguous head is no head") {
            withTargets(::respondWithId) { testbed, (target) ->
                val body = "GET / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
                testbed.connect().use { socket ->
                    val head = "POST /safe/ HTTP/1.1\r\nHost: test.example\r\nX-Id: 1\r\n" +
                        "Content-Length: ${body.length}\r\n\r\n"
                    // The body arrives after the response to the request before it.
                    ScriptedTarget.write(socket, get("0") + head)
                    val first = testbed.readResponse(socket)
                    withClue("${first.status} ${first.headers} complete=${first.complete}") { first.body shouldBe "0" }
                    ScriptedTarget.write(socket, body)
                    testbed.readResponse(socket).body shouldBe "1"
                }
                target.received.last().body shouldBe body
            }
        }

        test("a request behind one that closes the connection reaches no target") {
            withTargets(::respondWithId) { testbed, (target) ->
                testbed.connect().use { socket ->
                    ScriptedTarget.write(socket, get("0", headers = "Connection: close\r\n") + get("1"))
                    testbed.readResponse(socket).body shouldBe "0"
                    socket.getInputStream().read() shouldBe -1
                }
                Thread.sleep(200)
                target.received.map { it.id } shouldContainExactly listOf("0")
            }
        }

        test("a non-idempotent request behind a response that breaks off reaches no target") {
            val released = CountDownLatch(1)
            withTargets({ request, socket ->
                val head = "HTTP/1.1 200 OK\r\nX-Id: ${request.id}\r\nContent-Length: 2000000\r\n\r\n"
                ScriptedTarget.write(socket, head + "x".repeat(1_000_000))
                released.await(10, TimeUnit.SECONDS)
                ScriptedTarget.reset(socket)
            }) { testbed, (target) ->
                testbed.connect().use { socket ->
                    ScriptedTarget.write(socket, get("0") + post("1"))
                    GatewayTestbed.await { target.received.isNotEmpty() }
                    Thread.sleep(200)
                    released.countDown()
                    testbed.readResponse(socket).complete shouldBe false
                }
                Thread.sleep(300)
                target.received.map { it.id } shouldContainExactly listOf("0")
            }
        }

        test("a caller that closes the connection cancels all requests that it sent ahead") {
            val closed = AtomicInteger()
            withTargets({ _, socket ->
                if (socket.getInputStream().read() < 0) closed.incrementAndGet()
            }) { testbed, (target) ->
                testbed.connect().use { socket ->
                    ScriptedTarget.write(socket, get("0") + get("1") + get("2"))
                    GatewayTestbed.await { target.received.size == 3 }
                }
                GatewayTestbed.await { closed.get() == 3 }
            }
        }

        test("at most 32 requests of a connection are in progress, and the others are served after them") {
            val released = CountDownLatch(1)
            val hold: (ReceivedRequest, Socket) -> Unit = { request, socket ->
                released.await(10, TimeUnit.SECONDS)
                respondWithId(request, socket)
            }
            withTargets(*Array(20) { hold }) { testbed, targets ->
                // A target that is silent for long gets the request a second time.
                fun distinctRequests() = targets.flatMap { target -> target.received.map { it.id } }.toSet().size
                testbed.connect().use { socket ->
                    ScriptedTarget.write(socket, (0 until 60).joinToString("") { get("$it") })
                    GatewayTestbed.await { distinctRequests() >= 32 }
                    Thread.sleep(200)
                    distinctRequests() shouldBe 32
                    released.countDown()
                    List(60) { testbed.readResponse(socket).body } shouldContainExactly List(60) { "$it" }
                }
            }
        }

        test("a caller that expects an interim response before its body gets it once earlier responses are complete") {
            withTargets(::respondWithId) { testbed, (target) ->
                testbed.connect().use { socket ->
                    val head = "POST /once/ HTTP/1.1\r\nHost: test.example\r\nX-Id: 1\r\n" +
                        "Content-Length: 4\r\nExpect: 100-continue\r\n\r\n"
                    ScriptedTarget.write(socket, get("0") + head)
                    testbed.readResponse(socket).body shouldBe "0"
                    testbed.readResponse(socket).status shouldBe 100
                    ScriptedTarget.write(socket, "body")
                    testbed.readResponse(socket).body shouldBe "1"
                }
                target.received.last().body shouldBe "body"
            }
        }

        test("a caller of HTTP/1.0 gets a response that ends with the connection") {
            withTargets(::respondWithId) { testbed, _ ->
                testbed.connect().use { socket ->
                    ScriptedTarget.write(socket, "GET /safe/ HTTP/1.0\r\nHost: test.example\r\nX-Id: 0\r\n\r\n")
                    testbed.readResponse(socket).body shouldBe "0"
                    socket.getInputStream().read() shouldBe -1
                }
            }
        }

        test("during a shutdown every request that was sent ahead is answered before the connection closes") {
            val released = CountDownLatch(1)
            withTargets({ request, socket ->
                released.await(10, TimeUnit.SECONDS)
                respondWithId(request, socket)
            }) { testbed, (target) ->
                testbed.connect().use { socket ->
                    ScriptedTarget.write(socket, get("0") + get("1") + get("2"))
                    GatewayTestbed.await { target.received.size == 3 }
                    val stopped = testbed.stopInBackground()
                    Thread.sleep(100)
                    released.countDown()
                    val responses = List(3) { testbed.readResponse(socket) }
                    responses.map { it.body } shouldContainExactly listOf("0", "1", "2")
                    responses.map { it.headers["connection"] } shouldContainExactly listOf(null, null, "close")
                    socket.getInputStream().read() shouldBe -1
                    stopped.get(10, TimeUnit.SECONDS)
                }
                target.received shouldHaveSize 3
            }
        }
    })
