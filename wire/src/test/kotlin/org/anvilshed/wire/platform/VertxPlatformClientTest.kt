package org.anvilshed.wire.platform

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelOption
import io.vertx.core.Vertx
import io.vertx.core.http.HttpServerRequest
import io.vertx.core.http.impl.HttpServerConnection
import io.vertx.kotlin.coroutines.coAwait
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class VertxPlatformClientTest :
    FunSpec({
        val vertx = Vertx.vertx()
        val requests = CopyOnWriteArrayList<String>()
        lateinit var respond: (HttpServerRequest) -> Unit

        val server = vertx.createHttpServer().requestHandler { request ->
            val headers = listOf("Client-Name", "If-Version").mapNotNull { request.getHeader(it) }
            requests += (listOf(request.method().name(), request.uri()) + headers).joinToString(" ")
            respond(request)
        }

        suspend fun client(timeout: Duration = 30.seconds): VertxPlatformClient {
            if (server.actualPort() <= 0) server.listen(0, "127.0.0.1").coAwait()
            return VertxPlatformClient(vertx, "http://127.0.0.1:${server.actualPort()}/", "vm-1", timeout)
        }

        fun status(code: Int, version: String? = null, body: String = ""): (HttpServerRequest) -> Unit = { request ->
            val response = request.response().setStatusCode(code)
            if (version != null) response.putHeader("Object-Version", version)
            response.end(body)
        }

        beforeTest { requests.clear() }

        afterSpec {
            server.close().coAwait()
            vertx.close().coAwait()
        }

        test("a read returns the bytes and the version, and each call names the client") {
            respond = status(200, "7", "text")
            val found = client().get(
                "bundles/current",
            ).shouldBeInstanceOf<PlatformResult.Success<PlatformObject>>().value
            found.version shouldBe 7
            found.body.decodeToString() shouldBe "text"
            requests.single() shouldBe "GET /v1/objects/bundles/current vm-1"
        }

        test("a write and a delete carry the expected version") {
            respond = status(200, "8")
            client().put("a/b", "x".toByteArray(), expectedVersion = 0) shouldBe PlatformResult.Success(8L)
            client().delete("a/b", expectedVersion = 8) shouldBe PlatformResult.Success(Unit)
            requests.toList() shouldBe listOf("PUT /v1/objects/a/b vm-1 0", "DELETE /v1/objects/a/b vm-1 8")
        }

        test("each status is returned as its own result") {
            val expected = mapOf(
                404 to PlatformResult.NotFound,
                409 to PlatformResult.VersionConflict(9),
                410 to PlatformResult.RevisionTooOld,
                413 to PlatformResult.TooLarge,
                429 to PlatformResult.RateLimited,
            )
            for ((code, result) in expected) {
                respond = status(code, "9")
                client().put("a", ByteArray(0), expectedVersion = 1) shouldBe result
            }
            respond = status(409)
            client().put("a", ByteArray(0), expectedVersion = 1) shouldBe PlatformResult.VersionConflict(null)
            respond = status(503)
            client().put("a", ByteArray(0), expectedVersion = 1).shouldBeInstanceOf<PlatformResult.Unavailable>()
        }

        test("a write is uncertain when its answer is lost, late, malformed or an unexpected status") {
            val answers = listOf<(HttpServerRequest) -> Unit>(
                { it.connection().close() },
                { },
                status(200),
                status(500, "3"),
            )
            for (answer in answers) {
                respond = answer
                val timeout = if (answer === answers[1]) 200.milliseconds else 30.seconds
                requests.clear()
                client(timeout).put("a", ByteArray(0), expectedVersion = 1)
                    .shouldBeInstanceOf<PlatformResult.OutcomeUncertain>()
                // A second attempt by the client could write twice.
                requests.size shouldBe 1
            }
        }

        test("a failed read and a write on a refused connection are not reported as uncertain") {
            respond = { it.connection().close() }
            client().get("a").shouldBeInstanceOf<PlatformResult.Unavailable>()
            respond = status(200)
            client().get("a").shouldBeInstanceOf<PlatformResult.Unavailable>()
            val closed = vertx.createHttpServer().requestHandler { }.listen(0, "127.0.0.1").coAwait()
            val port = closed.actualPort()
            closed.close().coAwait()
            VertxPlatformClient(vertx, "http://127.0.0.1:$port", "vm-1", 30.seconds).put("a", ByteArray(0), 0)
                .shouldBeInstanceOf<PlatformResult.Unavailable>()
        }

        test("listings, watches and the VM list are decoded, and unknown fields are ignored") {
            respond = status(200, body = """{"revision":5,"objects":[{"key":"seats/zone/a","version":4}],"more":1}""")
            client().list("seats/") shouldBe
                PlatformResult.Success(PlatformListing(5, listOf(PlatformEntry("seats/zone/a", 4))))
            respond = status(200, body = """{"revision":6,"events":[{"key":"k","version":6,"deleted":true}]}""")
            client().watch("bundles/", after = 5, timeout = 2.seconds) shouldBe
                PlatformResult.Success(PlatformChanges(6, listOf(PlatformEvent("k", 6, deleted = true))))
            respond = status(
                200,
                body = """{"vms":[{"name":"a","role":"entry","zone":"z","address":"127.0.0.1:1","state":"leaving"}]}""",
            )
            val vm = PlatformVm("a", PlatformVmRole.ENTRY, "z", "127.0.0.1:1", PlatformVmState.LEAVING)
            client().listVms() shouldBe PlatformResult.Success(listOf(vm))
            requests.toList() shouldBe listOf(
                "GET /v1/objects?prefix=seats%2F vm-1",
                "GET /v1/watch?prefix=bundles%2F&after=5&timeout_ms=2000 vm-1",
                "GET /v1/vms vm-1",
            )
            respond = status(200, body = "{")
            client().list("seats/").shouldBeInstanceOf<PlatformResult.Unavailable>()
        }

        fun raw(bytes: String): (HttpServerRequest) -> Unit = { request ->
            val channel = (request.connection() as HttpServerConnection).channelHandlerContext().pipeline()
            channel.firstContext().writeAndFlush(Unpooled.copiedBuffer(bytes, Charsets.ISO_8859_1))
        }

        test("a write is uncertain when its answer has an invalid status") {
            for (status in listOf("000", "099", "600", "20", "2000", "abc")) {
                respond = raw("HTTP/1.1 $status OK\r\nObject-Version: 7\r\nContent-Length: 0\r\n\r\n")
                withClue(status) {
                    client().put("a", ByteArray(0), 1).shouldBeInstanceOf<PlatformResult.OutcomeUncertain>()
                }
            }
        }

        test("a write is uncertain when its answer has an invalid field name") {
            for (line in listOf(" X-Odd: v", " ", "X Odd: v", "X-Odd : v", "X-\u0001Odd: v")) {
                for (code in listOf(200, 409)) {
                    respond = raw("HTTP/1.1 $code OK\r\nObject-Version: 7\r\n$line\r\nContent-Length: 0\r\n\r\n")
                    withClue("$code $line") {
                        client().put("a", ByteArray(0), 1).shouldBeInstanceOf<PlatformResult.OutcomeUncertain>()
                    }
                }
            }
        }

        // Guards against a write that is taken for done because of the beginning of an answer.
        test("a write is uncertain when its answer has no length and is reset during the call") {
            val upload = ByteArray(8 * 1024 * 1024)
            respond = { request ->
                request.pause()
                val channel = (request.connection() as HttpServerConnection).channelHandlerContext().channel()
                val head = Unpooled.copiedBuffer("HTTP/1.1 200 OK\r\nObject-Version: 7\r\n\r\n", Charsets.US_ASCII)
                channel.pipeline().firstContext().writeAndFlush(head)
                vertx.setTimer(200) {
                    channel.config().setOption(ChannelOption.SO_LINGER, 0)
                    channel.close()
                }
            }
            client().use { client ->
                repeat(8) {
                    client.put("a", upload, expectedVersion = 1)
                        .shouldBeInstanceOf<PlatformResult.OutcomeUncertain>()
                }
            }
        }
    })
