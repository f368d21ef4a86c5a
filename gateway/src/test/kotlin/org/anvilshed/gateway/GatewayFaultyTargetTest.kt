package org.anvilshed.gateway

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import org.anvilshed.gateway.testbed.ReceivedRequest
import org.anvilshed.gateway.testbed.ScriptedTarget
import org.anvilshed.gateway.testbed.withTargets
import java.net.Socket
import java.util.Collections
import java.util.WeakHashMap

private fun refusal(id: String) =
    "HTTP/1.1 503 Service Unavailable\r\nX-Id: $id\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"

/**
 * Target that refuses the first request, and writes [repeated] before it runs the next one on that connection, as if
 * it refused that one as well.
 */
private class RepeatingTarget(private val repeated: (ReceivedRequest) -> String) {
    private val refused = Collections.synchronizedSet(Collections.newSetFromMap(WeakHashMap<Socket, Boolean>()))
    private var refusals = 0

    fun respond(request: ReceivedRequest, socket: Socket) {
        when {
            socket in refused -> {
                ScriptedTarget.write(socket, repeated(request))
                ScriptedTarget.respond(socket, request)
            }

            refusals++ == 0 -> {
                refused.add(socket)
                ScriptedTarget.write(socket, refusal(request.id))
            }

            else -> ScriptedTarget.respond(socket, request)
        }
    }
}

class GatewayFaultyTargetTest :
    FunSpec({
        val earlierRefusals = mapOf<String, (ReceivedRequest) -> String>(
            "the identifier of the earlier request" to { refusal("first") },
            "no identifier" to { refusal("first").replace("X-Id: first\r\n", "") },
            "two identifiers" to { refusal("first").replace("X-Id: first", "X-Id: first\r\nX-Id: ${it.id}") },
        )
        for ((what, repeated) in earlierRefusals) {
            test("a refusal that is written again with $what does not count as the refusal of the next request") {
                val faulty = RepeatingTarget(repeated)
                withTargets(faulty::respond) { testbed, _ ->
                    testbed.call("/once/", id = "first", method = "POST", body = "x").status shouldBe 503
                    testbed.call("/once/", id = "second", method = "POST", body = "x").status shouldNotBe 503
                }
            }
        }

        // Guards against the identifier as the only mark of a response, as callers may use one again.
        test("a refusal that is written again does not count for a later attempt with the same identifier") {
            val faulty = RepeatingTarget { refusal(it.id) }
            withTargets(faulty::respond) { testbed, _ ->
                testbed.call("/once/", id = "same", method = "POST", body = "x").status shouldBe 503
                testbed.call("/once/", id = "same", method = "POST", body = "x").status shouldNotBe 503
            }
        }

        test("a response whose head ends early is no success, wherever it ends") {
            val head = "HTTP/1.1 200 OK\r\nX-Id: id-1\r\nX-Stamp: stamp\r\nContent-Length: 10\r\nX-Last: 1\r\n\r\n"
            val chunked = head.replace("Content-Length: 10", "Transfer-Encoding: chunked")
            val unframed = head.replace("Content-Length: 10\r\n", "")
            for (whole in listOf(head, chunked, unframed)) {
                for (length in (0 until whole.length step 7) + (whole.length - 4 until whole.length)) {
                    val close: (ReceivedRequest, Socket) -> Unit = { _, socket ->
                        ScriptedTarget.write(socket, whole.take(length))
                        socket.close()
                    }
                    withTargets(close) { testbed, _ ->
                        withClue(whole.take(length)) {
                            testbed.call("/once/", method = "POST", body = "x").status shouldBe 502
                        }
                    }
                }
            }
        }

        // Guards against requests that come on while a target has said for how long it wants none.
        test("a target that turns a request away with a time gets no more than two requests in that time") {
            val overloaded: (ReceivedRequest, Socket) -> Unit = { request, socket ->
                ScriptedTarget.respond(
                    socket,
                    request,
                    status = "503 Service Unavailable",
                    extra = "Retry-After: 1.5\r\nX-Not-Run: 1\r\n",
                )
            }
            withTargets(overloaded) { testbed, (target) ->
                testbed.call("/safe/").status shouldBe 503
                Thread.sleep(500)
                val before = target.received.size
                val refused = List(8) { testbed.call("/safe/", id = "id-$it") }
                refused.map { it.status }.toSet() shouldBe setOf(503)
                refused.first().body.contains("targets-paused") shouldBe true
                target.received.size - before shouldBeLessThanOrEqual 2
                Thread.sleep(2_000)
                testbed.call("/safe/", id = "later")
                target.received.last().id shouldBe "later"
            }
        }
    })
