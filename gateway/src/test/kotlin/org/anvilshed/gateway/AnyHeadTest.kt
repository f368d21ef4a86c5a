package org.anvilshed.gateway

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeIn
import io.kotest.matchers.shouldBe
import org.anvilshed.gateway.testbed.GatewayTestbed
import org.anvilshed.gateway.testbed.GatewayTestbed.Companion.await
import org.anvilshed.gateway.testbed.ScriptedTarget
import org.anvilshed.gateway.testbed.withTargets
import java.net.Socket
import java.net.SocketException
import kotlin.random.Random

/** More idle connections than any of these tests leaves behind on purpose. */
private const val CONNECTION_BOUND = 4

private val CONTROLS = (0x00..0x1F).map { it.toChar() } + listOf('\u007F', '\u0080', '\u00FF')

private fun Socket.writeLatin1(text: String) = getOutputStream().run {
    write(text.toByteArray(Charsets.ISO_8859_1))
    flush()
}

/** Returns [text] with one to three of its characters replaced, removed or preceded by others. */
private fun Random.damage(text: String): String {
    val damaged = StringBuilder(text)
    repeat(nextInt(1, 4)) {
        val at = nextInt(damaged.length)
        val character = if (nextBoolean()) CONTROLS.random(this) else nextInt(0x20, 0x100).toChar()
        when (nextInt(3)) {
            0 -> damaged.setCharAt(at, character)
            1 -> damaged.insert(at, character)
            else -> damaged.deleteCharAt(at)
        }
    }
    return damaged.toString()
}

private fun GatewayTestbed.statusOrNull(head: String): Int? = connect().use { socket ->
    try {
        socket.writeLatin1(head)
        socket.shutdownOutput()
        readResponse(socket).status
    } catch (_: SocketException) {
        null
    }
}

class AnyHeadTest :
    FunSpec({
        // Guards against fields of callers that make an exception in the work of their request.
        test("a request gets a response or the end of its connection, whatever its head contains") {
            withTargets({ request, socket -> ScriptedTarget.respond(socket, request) }) { testbed, targets ->
                val head = "GET /safe/a?b HTTP/1.1\r\nHost: test.example\r\nX-Id: id-1\r\nX-Deadline: 2000\r\n" +
                    "X-Key: 17\r\nX-Other: v\r\n\r\n"
                for (seed in 1..1_500) {
                    val damaged = Random(seed).damage(head)
                    withClue("seed $seed: $damaged") {
                        testbed.statusOrNull(damaged) shouldBeIn
                            setOf(null, 0, 200, 400, 404, 431, 501, 502, 503, 504, 408, 413)
                    }
                }
                testbed.call("/safe/").status shouldBe 200
                await { targets.single().openConnections <= CONNECTION_BOUND }
            }
        }

        // Guards against fields of targets that make an exception where the response is passed on.
        test("a request gets a response or the end of its connection, whatever the head of its response contains") {
            val head = "HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Stamp: stamp\r\nX-Load: 1,0,4\r\nX-Rate-Limit: 50\r\n" +
                "Retry-After: 1\r\nKeep-Alive: timeout=5\r\nContent-Length: 2\r\n\r\nok"
            var seed = 0
            withTargets({ request, socket ->
                socket.writeLatin1(Random(seed).damage(head).replace("ID", request.id))
                socket.close()
            }) { testbed, targets ->
                for (next in 1..700) {
                    seed = next
                    withClue("seed $seed: ${Random(seed).damage(head)}") {
                        val response = testbed.call(
                            "/once/",
                            id = "id-$next",
                            method = "POST",
                            body = "x",
                            deadline = 500,
                        )
                        (response.status == 0 || response.status in 200..999) shouldBe true
                    }
                }
                await { targets.single().openConnections <= CONNECTION_BOUND }
            }
        }
    })
