package org.anvilshed.gateway

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import org.anvilshed.gateway.testbed.GatewayTestbed
import org.anvilshed.gateway.testbed.ReceivedRequest
import org.anvilshed.gateway.testbed.ScriptedTarget
import org.anvilshed.gateway.testbed.withTargets
import java.net.Socket

private const val BODY = "whole body"

/** Too large to be held, so that its caller gets it while it arrives. */
private val STREAMED = "x".repeat(1_000_000)
private val INVALID_STATUSES = listOf("000", "099", "600", "999", "20", "2000", "abc", "")

/** Lines that are no field. */
private val INVALID_LINES = listOf(
    "X Odd: v",
    "X-Odd : v",
    "X-\u0000Odd: v",
    "X-\rOdd: v",
    "\u0001X-Odd: v",
)
private val NO_BODY = listOf("Content-Length: 0")

private fun head(request: ReceivedRequest, status: String, lines: List<String>): String {
    val fields = listOf("X-Id: ${request.id}", "X-Stamp: stamp") + lines
    return "HTTP/1.1 $status\r\n" + fields.joinToString("") { "$it\r\n" } + "\r\n"
}

/** Target that responds with [bytes] to requests whose identifier starts with "broken", and soundly to others. */
private class FaultyTarget {
    @Volatile
    lateinit var bytes: (ReceivedRequest) -> String

    fun respond(request: ReceivedRequest, socket: Socket) {
        if (!request.id.startsWith("broken")) return ScriptedTarget.respond(socket, request, body = request.id)
        val response = bytes(request)
        ScriptedTarget.write(socket, response)
        // Ends a response without a length.
        if ("Content-Length" !in response && "chunked" !in response) socket.shutdownOutput()
    }
}

private fun withFaultyTarget(test: (GatewayTestbed, ScriptedTarget, FaultyTarget) -> Unit) {
    val faulty = FaultyTarget()
    withTargets(faulty::respond) { testbed, (target) -> test(testbed, target, faulty) }
}

/** Returns what is wrong with the response to a request that gets an invalid response from its target, if anything. */
private fun faultOrNull(testbed: GatewayTestbed, target: ScriptedTarget, method: String, id: String): String? {
    val path = if (method == "POST") "/once/" else "/safe/"
    val body = "x".takeIf { method == "POST" }
    val response = testbed.call(path, "broken-$id", method, body, extra = "Connection: close\r\n")
    val sound = testbed.call("/once/", "sound-$id", "POST", "x")
    val runs = target.received.count { it.id == "broken-$id" }
    return when {
        response.status != 502 -> "got ${response.status} ${response.headers} ${response.body.take(40)}"
        runs != 1 -> "ran $runs times"
        sound.status != 200 || sound.body != "sound-$id" -> "the next request got ${sound.status} ${sound.body}"
        else -> null
    }
}

class GatewayInvalidResponseTest :
    FunSpec({
        val framings = mapOf(
            "a length" to (listOf("Content-Length: ${BODY.length}") to BODY),
            "no length" to (emptyList<String>() to BODY),
            "chunks" to (listOf("Transfer-Encoding: chunked") to "a\r\n$BODY\r\n0\r\n\r\n"),
            "a large body" to (listOf("Content-Length: ${STREAMED.length}") to STREAMED),
            "a large body without a length" to (emptyList<String>() to STREAMED),
        )
        for ((framing, parts) in framings) {
            val (fields, body) = parts
            for (method in listOf("GET", "HEAD", "POST")) {
                test("a response to $method with $framing and an invalid status is not delivered") {
                    withFaultyTarget { testbed, target, faulty ->
                        val wrong = INVALID_STATUSES.mapIndexedNotNull { index, status ->
                            faulty.bytes = { head(it, "$status OK", fields) + body }
                            faultOrNull(testbed, target, method, "$index")?.let { "$status: $it" }
                        }
                        wrong.shouldBeEmpty()
                    }
                }
            }
        }

        // Guards against a request that waits for its time limit, as nothing tells of the invalid head.
        test("an invalid interim response makes the response invalid at once") {
            withFaultyTarget { testbed, target, faulty ->
                val wrong = INVALID_LINES.mapIndexedNotNull { index, line ->
                    faulty.bytes = { head(it, "103 Early Hints", listOf(line)) + head(it, "200 OK", NO_BODY) }
                    faultOrNull(testbed, target, "POST", "$index")?.let { "$line: $it" }
                }
                wrong.shouldBeEmpty()
            }
        }
    })
