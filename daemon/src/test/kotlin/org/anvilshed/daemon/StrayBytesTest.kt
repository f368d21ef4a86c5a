package org.anvilshed.daemon

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpMethod
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.delay
import org.anvilshed.daemon.testbed.TEST_TIMEOUT
import org.anvilshed.daemon.testbed.TestZone
import org.anvilshed.daemon.testbed.Testbed
import kotlin.time.Duration.Companion.milliseconds

private val zone = TestZone("nbo-a", "nbo")
private const val IDLE_MILLIS = 20L

/** Guards against a status that a target wrote outside a response. */
class StrayBytesTest :
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

        suspend fun stutter(stray: String, delayMillis: Long) {
            val response = testbed.request(daemon, HttpMethod.POST, "/stutter/$delayMillis", "read")
                .sendBuffer(Buffer.buffer(stray)).coAwait()
            response.statusCode() shouldBe 200
            delay((2 * IDLE_MILLIS).milliseconds)
        }

        for (delayMillis in listOf(0L, IDLE_MILLIS)) {
            test("a failure is not replaced by bytes outside a response, written after $delayMillis ms") {
                val strayHead = "HTTP/1.1 200 OK\r\nTarget: x\r\nServer: x\r\n"
                val wrong = (1..strayHead.length).mapNotNull { length ->
                    stutter(strayHead.take(length), delayMillis)
                    val status = testbed.read(daemon, "/fail").statusCode()
                    "$length: $status".takeIf { status != 500 }
                }
                wrong.shouldBeEmpty()
            }

            test("a payout is not sent again because of bytes outside a response, written after $delayMillis ms") {
                val strayHead = "HTTP/1.1 503 Service Unavailable\r\nNot-Run: true\r\nServer: x"
                for (length in listOf("HTTP/1.1 503 S".length, strayHead.length - 1, strayHead.length)) {
                    stutter(strayHead.take(length), delayMillis)
                    val identifier = "${testbed.token(daemon, "nbo-a-vm-1")}.stutter-$delayMillis-$length"
                    val response = testbed.pay(daemon, "/echo", identifier)
                    withClue("$length") {
                        response.statusCode() shouldBe 200
                        testbed.target("nbo-a").arrivals[identifier] shouldBe 1
                    }
                }
            }
        }

        test("bytes outside a response are counted") {
            testbed.metrics(daemon) shouldContain "anvilshed_stray_bytes_total{server=\"target\"}"
        }
    })
