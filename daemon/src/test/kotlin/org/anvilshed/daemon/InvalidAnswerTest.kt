package org.anvilshed.daemon

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpMethod
import io.vertx.ext.web.client.HttpResponse
import io.vertx.kotlin.coroutines.coAwait
import org.anvilshed.daemon.testbed.TEST_TIMEOUT
import org.anvilshed.daemon.testbed.TIMEOUT
import org.anvilshed.daemon.testbed.TestZone
import org.anvilshed.daemon.testbed.Testbed

private val zone = TestZone("nbo-a", "nbo")
private val INVALID_STATUSES = listOf("000", "099", "600", "20", "2000", "abc")
private val INVALID_LINES = listOf(" Content-Length: 5", " X-Odd: v", " ", "X Odd: v", "X-Odd : v", "X-\u0001Odd: v")

/** Guards against a status, a length or a statement that a target's answer does not have by its syntax. */
class InvalidAnswerTest :
    FunSpec({
        timeout = 2 * TEST_TIMEOUT.inWholeMilliseconds

        val testbed = Testbed(listOf(zone))
        lateinit var daemon: Daemon
        var payouts = 0

        beforeSpec {
            testbed.start()
            daemon = testbed.startDaemon("nbo-a-vm-1", zone)
            testbed.awaitReady()
        }
        afterSpec { testbed.stop() }

        suspend fun pay(answer: String, identifier: String): HttpResponse<Buffer> =
            testbed.request(daemon, HttpMethod.POST, "/raw", "pay")
                .putHeader("Anvilshed-Request-Id", identifier)
                .putHeader("Anvilshed-Deadline-Ms", "500")
                .sendBuffer(Buffer.buffer(answer, "ISO-8859-1")).coAwait()

        /** Checks that the outcome of a payout is unknown after [answer], and that it is not sent again. */
        suspend fun shouldBeUnknown(answer: String) = withClue(answer) {
            // The daemon sends nothing to a target whose slots are taken by unknown outcomes, or that has just failed.
            eventually(TIMEOUT) {
                val identifier = "${testbed.token(daemon, "nbo-a-vm-1")}.invalid-${payouts++}"
                val outcomes = List(2) { pay(answer, identifier).getHeader("Anvilshed-Outcome") }
                val isSent = testbed.target("nbo-a").arrivals[identifier] == 1
                outcomes shouldBe List(2) { if (isSent) "unknown" else "not-run" }
                isSent shouldBe true
            }
        }

        test("an answer with an invalid status is no answer") {
            for (status in INVALID_STATUSES) {
                shouldBeUnknown("HTTP/1.1 $status OK\r\nTarget: x\r\nContent-Length: 2\r\n\r\nok")
            }
        }

        test("an answer with an invalid field name is no answer, also if it says that the payout did not run") {
            for (line in INVALID_LINES) {
                val fields = "Target: x\r\n$line\r\nContent-Length: 2\r\n\r\nok"
                shouldBeUnknown("HTTP/1.1 200 OK\r\n$fields")
                shouldBeUnknown("HTTP/1.1 503 Slow\r\nNot-Run: true\r\nDraining: true\r\n$fields")
            }
            eventually(TIMEOUT) { testbed.read(daemon, "/delay/1").statusCode() shouldBe 200 }
        }

        test("an invalid answer to a read is no answer") {
            val answer = "HTTP/1.1 200 OK\r\nTarget: x\r\n X-Odd: v\r\nContent-Length: 2\r\n\r\nok"
            val response = testbed.request(daemon, HttpMethod.POST, "/raw", "read")
                .putHeader("Anvilshed-Deadline-Ms", "300").sendBuffer(Buffer.buffer(answer)).coAwait()
            response.getHeader("Anvilshed-Outcome") shouldNotBe "answered"
        }

        test("nothing that an invalid answer to a health probe says is believed") {
            val target = testbed.target("nbo-a")
            val health = """{"state":"draining","slots":4,"in_flight":0}"""
            val heads = listOf("HTTP/1.1 200 OK\r\nServer: x\r\n X-Odd: v", "HTTP/1.1 000 OK\r\nServer: x")
            for (head in heads) {
                target.rawHealth = "$head\r\nContent-Length: ${health.length}\r\n\r\n$health"
                val before = target.probes.get()
                eventually(TIMEOUT) { check(target.probes.get() >= before + 2) { "no two probes yet" } }
                withClue(head) { testbed.read(daemon, "/delay/1").statusCode() shouldBe 200 }
            }
            target.rawHealth = null
        }
    })
