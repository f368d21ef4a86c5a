package org.anvilshed.daemon

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.assertions.throwables.shouldThrow
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpClosedException
import io.vertx.core.http.HttpMethod
import io.vertx.ext.web.client.HttpResponse
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.withContext
import org.anvilshed.daemon.testbed.TEST_TIMEOUT
import org.anvilshed.daemon.testbed.TIMEOUT
import org.anvilshed.daemon.testbed.TestZone
import org.anvilshed.daemon.testbed.Testbed
import java.net.Socket
import java.net.SocketException

private val zone = TestZone("nbo-a", "nbo")

/** More than the buffers of a connection hold, so that a part of it is unsent while the target does not read. */
private val UPLOAD = Buffer.buffer(ByteArray(16_000_000))

/** Checks that [call] fails because its connection ends; a caller learns that from a read or from a write. */
private suspend fun shouldBeBrokenOff(call: suspend () -> Unit) {
    val failure = shouldThrow<Exception> { call() }
    withClue(failure) { (failure is HttpClosedException || failure is SocketException) shouldBe true }
}

/** Guards against the beginning of an answer that callers take for the whole, as only its connection shows its end. */
class CloseDelimitedAnswerTest :
    FunSpec({
        timeout = TEST_TIMEOUT.inWholeMilliseconds

        val testbed = Testbed(listOf(zone))
        lateinit var daemon: Daemon

        beforeSpec {
            testbed.start()
            daemon = testbed.startDaemon("nbo-a-vm-1", zone)
            testbed.awaitReady()
        }
        afterSpec { testbed.stop() }

        suspend fun pay(path: String, identifier: String): HttpResponse<Buffer> =
            testbed.request(daemon, HttpMethod.POST, path, "pay")
                .putHeader("Anvilshed-Request-Id", identifier)
                .sendBuffer(UPLOAD).coAwait()

        // More requests than the target has slots.
        test("an answer that is reset during the upload of a payout is unknown, and the payout is not sent again") {
            repeat(5) { number ->
                val identifier = "${testbed.token(daemon, "nbo-a-vm-1")}.early-reset-$number"
                pay("/early-reset", identifier).getHeader("Anvilshed-Outcome") shouldBe "unknown"
                pay("/early-reset", identifier).getHeader("Anvilshed-Outcome") shouldBe "unknown"
                testbed.target("nbo-a").arrivals[identifier] shouldBe 1
            }
            eventually(TIMEOUT) { testbed.status(daemon).getInteger("requests_in_flight") shouldBe 0 }
        }

        test("an answer that is reset during the upload of a read is incomplete") {
            repeat(5) {
                shouldBeBrokenOff {
                    testbed.request(daemon, HttpMethod.POST, "/early-reset", "read").sendBuffer(UPLOAD).coAwait()
                }
            }
            eventually(TIMEOUT) { testbed.status(daemon).getInteger("requests_in_flight") shouldBe 0 }
        }

        test("an answer that ends orderly before the upload was read is passed on") {
            repeat(5) { number ->
                val identifier = "${testbed.token(daemon, "nbo-a-vm-1")}.early-end-$number"
                pay("/early-end", identifier).bodyAsString() shouldBe "early"
            }
        }

        // Guards against closes that wait for a target to read the rest of the upload.
        test("the connection of an answer without end is closed at the deadline, also if its target reads no more") {
            val cancelled = testbed.target("nbo-a").cancelled.get()
            shouldBeBrokenOff {
                testbed.request(daemon, HttpMethod.POST, "/early-endless", "read")
                    .putHeader("Anvilshed-Deadline-Ms", "500").sendBuffer(UPLOAD).coAwait()
            }
            eventually(TIMEOUT) { testbed.target("nbo-a").cancelled.get() shouldBe cancelled + 1 }
        }

        // Without chunks, a caller takes an orderly end of its connection for the end of the answer.
        test("an answer that is reset is not ended orderly for a caller of HTTP/1.0") {
            val request = "POST /v1/services/booking/early-reset HTTP/1.0\r\nHost: x\r\nAnvilshed-Kind: read\r\n" +
                "Content-Length: 1\r\n\r\nx"
            withContext(Dispatchers.IO) {
                Socket("127.0.0.1", daemon.ports.callers).use { socket ->
                    socket.soTimeout = TIMEOUT.inWholeMilliseconds.toInt()
                    socket.getOutputStream().write(request.toByteArray())
                    shouldThrow<SocketException> { socket.getInputStream().readAllBytes() }
                }
            }
        }
    })
