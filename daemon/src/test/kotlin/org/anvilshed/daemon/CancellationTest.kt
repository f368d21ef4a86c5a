package org.anvilshed.daemon

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.vertx.core.http.HttpClientRequest
import io.vertx.core.http.HttpMethod
import io.vertx.core.http.RequestOptions
import io.vertx.kotlin.coroutines.coAwait
import org.anvilshed.daemon.testbed.TEST_TIMEOUT
import org.anvilshed.daemon.testbed.TIMEOUT
import org.anvilshed.daemon.testbed.TestZone
import org.anvilshed.daemon.testbed.Testbed

private val zone = TestZone("nbo-a", "nbo")

/** Guards against requests that go on without need, or payouts that are lost, when callers close their connections. */
class CancellationTest :
    FunSpec({
        timeout = TEST_TIMEOUT.inWholeMilliseconds

        val testbed = Testbed(listOf(zone))
        lateinit var daemon: Daemon

        suspend fun open(kind: String, path: String, identifier: String? = null): HttpClientRequest {
            val client = testbed.vertx.createHttpClient()
            val options = RequestOptions().setMethod(HttpMethod.POST).setHost("127.0.0.1").setPort(daemon.ports.callers)
                .setURI("/v1/services/booking$path").putHeader("Anvilshed-Kind", kind)
            identifier?.let { options.putHeader("Anvilshed-Request-Id", it) }
            return client.request(options).coAwait()
        }

        beforeSpec {
            testbed.start()
            daemon = testbed.startDaemon("nbo-a-vm-1", zone)
            testbed.awaitReady()
        }
        afterSpec { testbed.stop() }

        test("a read is cancelled at the target when its caller closes the connection") {
            val target = testbed.target("nbo-a")
            val request = open("read", "/hang")
            request.end("x")
            eventually(TIMEOUT) { target.arrivals["/hang"] shouldBe 1 }
            request.connection().close().coAwait()
            eventually(TIMEOUT) { target.cancelled.get() shouldBe 1 }
        }

        test("a dispatched payout is completed and recorded when its caller closes the connection") {
            val target = testbed.target("nbo-a")
            val before = target.cancelled.get()
            val identifier = "${testbed.token(daemon, "nbo-a-vm-1")}.abandoned"
            val request = open("pay", "/delay/500", identifier)
            request.end("x")
            eventually(TIMEOUT) { target.arrivals[identifier] shouldBe 1 }
            request.connection().close().coAwait()
            val duplicate = testbed.pay(daemon, "/delay/500", identifier)
            duplicate.statusCode() shouldBe 200
            duplicate.getHeader("Anvilshed-Replayed") shouldBe "true"
            target.arrivals[identifier] shouldBe 1
            target.cancelled.get() shouldBe before
        }

        test("a payout with an incomplete body has an unknown outcome and does not stay in flight") {
            val target = testbed.target("nbo-a")
            val identifier = "${testbed.token(daemon, "nbo-a-vm-1")}.broken-body"
            val request = open("pay", "/echo", identifier)
            request.isChunked = true
            // Longer than the part that is read before the dispatch, so that the target receives a part of the body.
            request.write(io.vertx.core.buffer.Buffer.buffer(ByteArray(200_000)))
            eventually(TIMEOUT) { target.arrivals[identifier] shouldBe 1 }
            request.connection().close().coAwait()
            val duplicate = testbed.pay(daemon, "/echo", identifier)
            duplicate.statusCode() shouldBe 504
            duplicate.getHeader("Anvilshed-Outcome") shouldBe "unknown"
            target.arrivals[identifier] shouldBe 1
            eventually(TIMEOUT) { testbed.status(daemon).getInteger("requests_in_flight") shouldBe 0 }
        }
    })
