package org.anvilshed.gateway

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import org.anvilshed.gateway.testbed.GatewayTestbed
import org.anvilshed.gateway.testbed.ReceivedRequest
import org.anvilshed.gateway.testbed.ScriptedTarget
import org.anvilshed.gateway.testbed.withTargets
import java.net.Socket

/** When a target writes bytes that belong to no response. */
private enum class StrayTime { WITH_RESPONSE, WHILE_IDLE, AFTER_NEXT_REQUEST }

/**
 * Target that answers requests whose identifier starts with "first" with 200, and all others with [status]. [stray] is
 * written at [time] in addition to a first response.
 */
private class StutteringTarget(private val status: String, private val stray: String, private val time: StrayTime) {
    @Volatile
    private var owed: Socket? = null

    fun respond(request: ReceivedRequest, socket: Socket) {
        val isFirst = request.id.startsWith("first")
        if (owed == socket) ScriptedTarget.write(socket, stray)
        owed = null
        if (!isFirst) return ScriptedTarget.respond(socket, request, status)
        val head = "HTTP/1.1 200 OK\r\nX-Id: ${request.id}\r\nContent-Length: 2\r\n\r\n"
        when (time) {
            StrayTime.WITH_RESPONSE -> ScriptedTarget.write(socket, head + "ok" + stray)

            StrayTime.WHILE_IDLE -> {
                ScriptedTarget.write(socket, head + "ok")
                Thread.sleep(IDLE_MILLIS)
                ScriptedTarget.write(socket, stray)
            }

            StrayTime.AFTER_NEXT_REQUEST -> {
                owed = socket
                ScriptedTarget.write(socket, head + "ok")
            }
        }
    }

    companion object {
        const val IDLE_MILLIS = 30L
    }
}

/** Returns what the caller of a second request got if that is neither the response of the target nor a failure. */
private fun wrongStatusOrNull(testbed: GatewayTestbed, target: ScriptedTarget, status: String): String? {
    testbed.call("/safe/", id = "first")
    Thread.sleep(2 * StutteringTarget.IDLE_MILLIS)
    val response = testbed.call("/once/", id = "second", method = "POST", body = "x")
    val ran = target.received.count { it.id == "second" }
    val answered = status.substringBefore(' ').toInt()
    val isOwn = response.status == answered || response.status == BAD_GATEWAY
    return "got ${response.status}, ran $ran times".takeIf { !isOwn || ran > 1 }
}

private const val BAD_GATEWAY = 502

class GatewayStrayBytesTest :
    FunSpec({
        val strayHead = "HTTP/1.1 200 OK\r\nX-Stamp: earlier\r\nServer: x\r\n"
        for (time in StrayTime.entries) {
            test("a status is not taken from bytes outside a response, written ${time.name.lowercase()}") {
                val wrong = (1..strayHead.length).mapNotNull { length ->
                    val target = StutteringTarget("500 Internal Server Error", strayHead.take(length), time)
                    var found: String? = null
                    withTargets(target::respond) { testbed, (scripted) ->
                        found = wrongStatusOrNull(testbed, scripted, "500 Internal Server Error")
                    }
                    found?.let { "${strayHead.take(length)}: $it" }
                }
                wrong.shouldBeEmpty()
            }
        }

        val strayStatuses = listOf("503 Service Unavailable", "421 Misdirected Request", "404 Not Found", "429 Slow")
        for (stray in strayStatuses) {
            test("a request that ran is not refused because of an earlier response: $stray") {
                val bytes = "HTTP/1.1 $stray\r\nX-Not-Run: 1\r\nServer: x".let { head ->
                    listOf(head, head.substringBefore("\r\n"), head.take("HTTP/1.1 421".length + 1))
                }
                for (text in bytes) {
                    val target = StutteringTarget("200 OK", text, StrayTime.WITH_RESPONSE)
                    withTargets(target::respond) { testbed, (scripted) ->
                        withClue(text) { listOfNotNull(wrongStatusOrNull(testbed, scripted, "200 OK")).shouldBeEmpty() }
                    }
                }
            }
        }

        // Guards against a success whose body is that of a response which was cut short, filled up by the next one.
        test("a body that was cut short is not filled by a second response") {
            for (missing in listOf(1, 5, 9, 40, 60)) {
                val cutShort: (ReceivedRequest, Socket) -> Unit = { request, socket ->
                    val head = "HTTP/1.1 200 OK\r\nX-Id: ${request.id}\r\nContent-Length: 100\r\n\r\n"
                    ScriptedTarget.write(socket, head + "a".repeat(100 - missing))
                    Thread.sleep(StutteringTarget.IDLE_MILLIS)
                    ScriptedTarget.write(socket, head + "a".repeat(100))
                }
                withTargets(cutShort) { testbed, _ ->
                    withClue("$missing bytes") {
                        testbed.call("/once/", method = "POST", body = "x").status shouldBe BAD_GATEWAY
                    }
                }
            }
        }

        test("a whole body that is followed by a second response is delivered") {
            val twice: (ReceivedRequest, Socket) -> Unit = { request, socket ->
                val response = "HTTP/1.1 200 OK\r\nX-Id: ${request.id}\r\nContent-Length: 2\r\n\r\nok"
                ScriptedTarget.write(socket, response + response)
            }
            withTargets(twice) { testbed, _ ->
                repeat(5) { testbed.call("/once/", id = "id-$it", method = "POST", body = "x").body shouldBe "ok" }
            }
        }
    })
