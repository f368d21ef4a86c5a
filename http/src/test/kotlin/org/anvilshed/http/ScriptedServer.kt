package org.anvilshed.http

import io.vertx.core.Future
import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpClient
import io.vertx.core.http.HttpClientRequest
import io.vertx.core.http.HttpMethod
import io.vertx.core.http.PoolOptions
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread

internal const val TIMEOUT_SECONDS = 10L

/** Server that calls [respond] with the socket and the path of each request; paths contain no spaces. */
internal class ScriptedServer(
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

internal fun Socket.send(text: String) = getOutputStream().run {
    write(text.toByteArray(Charsets.ISO_8859_1))
    flush()
}

/** Closes the connection with a TCP reset. */
internal fun Socket.reset() {
    setSoLinger(true, 0)
    close()
}

internal fun <T> Future<T>.get(): T = toCompletionStage().toCompletableFuture().get(TIMEOUT_SECONDS, TimeUnit.SECONDS)

internal class StrictClient(private val server: ScriptedServer) : AutoCloseable {
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

    /** Sends [upload] and returns the body of the response. */
    fun upload(upload: Buffer): Future<String> = open("/upload").compose { request ->
        request.send(upload).compose { response -> response.body().map { it.toString() } }
    }

    override fun close() {
        vertx.close().get()
    }
}

internal inline fun withServer(
    noinline onAccept: (Socket) -> Unit = {},
    noinline respond: (Socket, String) -> Unit,
    test: (StrictClient, ScriptedServer) -> Unit,
) = ScriptedServer(onAccept, respond).use { server -> StrictClient(server).use { test(it, server) } }
