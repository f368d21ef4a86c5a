package org.anvilshed.http

import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import io.vertx.core.Future
import io.vertx.core.Vertx
import io.vertx.core.http.HttpClient
import io.vertx.core.http.HttpClientRequest
import io.vertx.core.http.HttpMethod
import io.vertx.core.http.PoolOptions
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.ExecutionException
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread

private const val TIMEOUT_SECONDS = 10L

/** Server that calls [respond] with the socket and the path of each request; paths contain no spaces. */
private class ScriptedServer(
    private val onAccept: (Socket) -> Unit = {},
    private val respond: (Socket, String) -> Unit,
) : AutoCloseable {
    private val server = ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"))
    private val connectionCount = AtomicInteger()

    /** Requests in the order in which they arrived, each as `connection path`. */
    val received = CopyOnWriteArrayList<String>()
    val port = server.localPort

    init {
        thread(isDaemon = true) {
            runCatching {
                while (true) {
                    val socket = server.accept()
                    val connection = connectionCount.incrementAndGet()
                    thread(isDaemon = true) { runCatching { serve(socket, connection) } }
                }
            }
        }
    }

    private fun serve(socket: Socket, connection: Int) {
        onAccept(socket)
        val input = socket.getInputStream().bufferedReader()
        while (true) {
            val head = generateSequence { input.readLine() }.takeWhile { it.isNotEmpty() }.toList()
            val path = head.firstOrNull()?.split(' ')?.get(1) ?: return
            received.add("$connection $path")
            respond(socket, path)
        }
    }

    override fun close() = server.close()
}

private fun Socket.send(text: String) = getOutputStream().run {
    write(text.toByteArray(Charsets.ISO_8859_1))
    flush()
}

private fun response(status: String) = "HTTP/1.1 $status\r\nServer: x\r\nContent-Length: 2\r\n\r\nok"

private fun <T> Future<T>.get(): T = toCompletionStage().toCompletableFuture().get(TIMEOUT_SECONDS, TimeUnit.SECONDS)

private class StrictClient(private val server: ScriptedServer) : AutoCloseable {
    private val vertx = Vertx.vertx()
    val strayBytes = CopyOnWriteArrayList<String>()
    private val client: HttpClient = vertx.httpClientBuilder().with(PoolOptions().setHttp1MaxSize(1))
        .withStrictResponses { address, bytes -> strayBytes.add("${address.port()} $bytes") }.build()

    /** Obtains a connection for a request. */
    fun open(path: String): Future<HttpClientRequest> = client.request(HttpMethod.GET, server.port, "127.0.0.1", path)

    /** Returns the status of the response to a request. */
    fun call(path: String): Future<Int> = open(path).compose { request ->
        request.send().compose { response -> response.body().map { response.statusCode() } }
    }

    override fun close() {
        vertx.close().get()
    }
}

private fun withServer(
    onAccept: (Socket) -> Unit = {},
    respond: (Socket, String) -> Unit,
    test: (StrictClient, ScriptedServer) -> Unit,
) = ScriptedServer(onAccept, respond).use { server -> StrictClient(server).use { test(it, server) } }

private fun awaitStrayBytes(client: StrictClient) {
    val end = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS)
    while (client.strayBytes.isEmpty()) {
        check(System.nanoTime() < end) { "no stray bytes were seen" }
        Thread.sleep(1)
    }
}

// Guards against the status of bytes that a server wrote outside a response, on connections of a pool.
class StrictClientsTest :
    FunSpec({
        test("the first response on a connection is checked") {
            withServer(respond = { socket, _ -> socket.send(response("200 OHTTP/1.1 500 Error")) }) { client, _ ->
                shouldThrow<ExecutionException> { client.call("/first").get() }
            }
        }

        test("bytes that a server writes before any request are no part of a response") {
            val status = response("500 Error")
            repeat(50) {
                withServer({ it.send("HTTP/1.1 200 O") }, { socket, _ -> socket.send(status) }) { client, _ ->
                    val result = runCatching { client.call("/first").get() }
                    listOfNotNull(result.getOrNull()).filter { it != 500 }.shouldBeEmpty()
                }
            }
        }

        test("a connection with bytes behind a response is not used again") {
            withServer(
                respond = { socket, path ->
                    socket.send(if (path == "/first") response("200 OK") + "HTTP/1.1 200 O" else response("500 Error"))
                },
            ) { client, server ->
                client.call("/first").get() shouldBe 200
                client.call("/second").get() shouldBe 500
                server.received.shouldContainExactly("1 /first", "2 /second")
                client.strayBytes.shouldContainExactly("${server.port} HTTP/1.1 200 O")
            }
        }

        test("a connection on which bytes arrive while it is idle is not used again") {
            withServer(
                respond = { socket, path ->
                    socket.send(response(if (path == "/first") "200 OK" else "500 Error"))
                    if (path == "/first") {
                        Thread.sleep(30)
                        socket.send("HTTP/1.1 200 O")
                    }
                },
            ) { client, server ->
                client.call("/first").get() shouldBe 200
                awaitStrayBytes(client)
                client.call("/second").get() shouldBe 500
                server.received.shouldContainExactly("1 /first", "2 /second")
            }
        }

        test("a request that waits for a connection with stray bytes is sent once, on another connection") {
            withServer(
                respond = { socket, path ->
                    Thread.sleep(30)
                    socket.send(if (path == "/first") response("200 OK") + "HTTP/1.1 200 O" else response("500 Error"))
                },
            ) { client, server ->
                val first = client.call("/first")
                val waiting = listOf(client.call("/second"), client.call("/third"))
                first.get() shouldBe 200
                waiting.forEach { it.get() shouldBe 500 }
                server.received.shouldContainExactly("1 /first", "2 /second", "2 /third")
            }
        }

        test("a request on a connection that got stray bytes after it was obtained is not sent and fails") {
            withServer(
                onAccept = {
                    Thread.sleep(30)
                    it.send("HTTP/1.1 200 O")
                },
                respond = { socket, _ -> socket.send(response("500 Error")) },
            ) { client, server ->
                val request = client.open("/first").get()
                awaitStrayBytes(client)
                shouldThrow<ExecutionException> { request.send().get() }
                server.received.shouldBeEmpty()
            }
        }
    })
