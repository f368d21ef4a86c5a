package org.anvilshed.gateway

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import org.anvilshed.gateway.testbed.CallerResponse
import org.anvilshed.gateway.testbed.GatewayTestbed
import org.anvilshed.gateway.testbed.ReceivedRequest
import org.anvilshed.gateway.testbed.ScriptedTarget
import org.anvilshed.gateway.testbed.withTargets
import java.net.Socket

private const val BODY = "whole body"

/** Too large to be held, so that its caller gets it while it arrives. */
private val STREAMED = "x".repeat(1_000_000)
private val INVALID_STATUSES = listOf("000", "099", "600", "999", "20", "2000", "abc", "")

/** Lines that are no field: each would change what the other lines say if it were passed over or joined to one. */
private val INVALID_LINES = listOf(
    " Content-Length: 5",
    "\tContent-Length: 5",
    " Transfer-Encoding: chunked",
    " X-Odd: v",
    " ",
    "X Odd: v",
    "X-Odd : v",
    "X-Odd\t: v",
    "X-\u0000Odd: v",
    "X-\u0001Odd: v",
    "X-\u000bOdd: v",
    "X-\rOdd: v",
    "X-\u007fOdd: v",
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

                test("a response to $method with $framing and an invalid field name is not delivered") {
                    withFaultyTarget { testbed, target, faulty ->
                        val heads = INVALID_LINES.flatMap { line ->
                            listOf(
                                "200 OK" to fields + line,
                                "200 OK" to listOf(line) + fields,
                                "500 E" to fields + line,
                            )
                        }
                        val wrong = heads.mapIndexedNotNull { index, (status, lines) ->
                            faulty.bytes = { head(it, status, lines) + body }
                            faultOrNull(testbed, target, method, "$index")?.let { "$status, $lines: $it" }
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

        test("a trailer with an invalid field name makes the response invalid") {
            withFaultyTarget { testbed, target, faulty ->
                val wrong = INVALID_LINES.mapIndexedNotNull { index, line ->
                    val chunks = "a\r\n$BODY\r\n0\r\nX-Last: 1\r\n$line\r\n\r\n"
                    faulty.bytes = { head(it, "200 OK", listOf("Transfer-Encoding: chunked")) + chunks }
                    faultOrNull(testbed, target, "POST", "$index")?.let { "$line: $it" }
                }
                wrong.shouldBeEmpty()
            }
        }

        // Guards against a refusal, a pause, a limit or a leave that the target did not state.
        test("nothing that an invalid head says is believed") {
            val statements = listOf(
                "X-Not-Run: 1",
                "Retry-After: 30",
                "X-Leaving: 1",
                "X-Rate-Limit: 0.1",
                "X-Load: 9,9,9",
                "Keep-Alive: timeout=0",
                " X-Odd: v",
            ) + NO_BODY
            withFaultyTarget { testbed, target, faulty ->
                for (status in listOf("503 Slow", "429 Slow", "421 Misdirected", "200 OK")) {
                    faulty.bytes = { head(it, status, statements) }
                    withClue(status) { faultOrNull(testbed, target, "POST", status.take(3)) shouldBe null }
                }
                repeat(20) { testbed.call("/safe/", "sound-$it").body shouldBe "sound-$it" }
            }
        }

        test("an invalid response is not delivered to a caller that sends requests ahead") {
            withFaultyTarget { testbed, _, faulty ->
                for (line in INVALID_LINES) {
                    faulty.bytes = { head(it, "200 OK", listOf(line, "Content-Length: ${BODY.length}")) + BODY }
                    testbed.connect().use { socket ->
                        val ids = listOf("sound-1", "broken-2", "sound-3", "broken-4", "sound-5")
                        val requests = ids.joinToString("") {
                            "GET /safe/ HTTP/1.1\r\nHost: test.example\r\nX-Id: $it\r\nX-Deadline: 2000\r\n\r\n"
                        }
                        ScriptedTarget.write(socket, requests)
                        val responses: List<CallerResponse> = ids.map { testbed.readResponse(socket) }
                        withClue(line) {
                            responses.map { it.status }.shouldContainExactly(200, 502, 200, 502, 200)
                            responses.filter { it.status == 200 }.map { it.body }
                                .shouldContainExactly("sound-1", "sound-3", "sound-5")
                        }
                    }
                }
            }
        }

        test("a request whose response is invalid is sent to another target if it is idempotent") {
            val invalid: (ReceivedRequest, Socket) -> Unit = { request, socket ->
                ScriptedTarget.write(socket, head(request, "200 OK", NO_BODY + " X-Odd: v"))
            }
            withTargets(invalid, { request, socket ->
                ScriptedTarget.respond(socket, request, body = BODY)
            }) { testbed, _ ->
                repeat(4) { testbed.call("/safe/", "id-$it").body shouldBe BODY }
            }
        }

        test("a streamed response with an invalid chunk is incomplete") {
            for (chunk in listOf("100000002\r\nok", "2 x\r\nok", " 2\r\nok", "2\u0000\r\nok", "2\r\nokx")) {
                withFaultyTarget { testbed, _, faulty ->
                    faulty.bytes = {
                        val first = "${STREAMED.length.toString(16)}\r\n$STREAMED\r\n"
                        head(it, "200 OK", listOf("Transfer-Encoding: chunked")) + "$first$chunk\r\n0\r\n\r\n"
                    }
                    withClue(chunk) { testbed.call("/safe/", "broken").complete shouldBe false }
                    testbed.call("/safe/", "sound").body shouldBe "sound"
                }
            }
        }
    })
