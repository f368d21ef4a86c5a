package org.anvilshed.daemon.testbed

import io.netty.buffer.Unpooled
import io.netty.channel.ChannelOption
import io.netty.channel.socket.DuplexChannel
import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpServer
import io.vertx.core.http.HttpServerOptions
import io.vertx.core.http.HttpServerRequest
import io.vertx.core.http.impl.HttpServerConnection
import io.vertx.core.json.JsonObject
import io.vertx.kotlin.coroutines.coAwait
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import kotlin.random.Random

/**
 * Target whose answer depends on the path of the request:
 * `/echo` returns the body; `/delay/<ms>` answers after a delay; `/large/<bytes>` returns a [pattern]; `/shed` answers
 * `Not-Run`; `/draining` answers `Not-Run` and `Draining`; `/lose` closes the connection after the request; `/half`
 * closes the connection in the middle of the response; `/redirect` redirects to `/echo`; `/hang` never answers; `/fail`
 * answers 500; `/stutter/<ms>` answers and then, after a delay, writes the body of the request outside a response;
 * `/early-end` and `/early-reset` answer without a length before they read the request, and then close their side of
 * the connection or reset it; `/early-endless` does not end such an answer; `/raw` writes the body of the request
 * instead of an answer.
 */
internal class FakeTarget(private val vertx: Vertx, val name: String) {
    private lateinit var server: HttpServer

    /** Number of received requests by request identifier, or by path for requests without an identifier. */
    val arrivals = ConcurrentHashMap<String, Int>()

    /** Number of requests whose connections were closed before the answer. */
    val cancelled = AtomicInteger()

    /** Number of requests that are not answered yet. */
    val running = AtomicInteger()

    /** Largest value of [running] so far. */
    val peak = AtomicInteger()

    @Volatile
    var healthState = "ready"

    /** Bytes that are written instead of answers to `/health`; `null` for sound answers. */
    @Volatile
    var rawHealth: String? = null

    /** Number of answers to `/health`. */
    val probes = AtomicInteger()

    /** Whether the next request that is not `/health` is shed. */
    @Volatile
    var shedNext = false

    val port: Int get() = server.actualPort()

    suspend fun start(port: Int = 0) {
        server = vertx.createHttpServer(HttpServerOptions().setTcpNoDelay(true)).requestHandler(::accept)
            .listen(port, "127.0.0.1").coAwait()
    }

    suspend fun stop() {
        server.close().coAwait()
    }

    private fun accept(request: HttpServerRequest) {
        if (request.path() == "/health") {
            probes.incrementAndGet()
            rawHealth?.let { return writeRaw(request, Buffer.buffer(it, "ISO-8859-1")) }
            val health = JsonObject().put("state", healthState).put("slots", 4).put("in_flight", running.get())
            request.response().end(health.put("queued", 0).put("age_ms", 0).toBuffer())
            return
        }
        arrivals.merge(request.getHeader("Request-Id") ?: request.path(), 1, Int::plus)
        peak.accumulateAndGet(running.incrementAndGet(), ::maxOf)
        // Vert.x calls the end handler also when the connection is closed.
        request.response().endHandler { running.decrementAndGet() }
        request.response().closeHandler { if (!request.response().ended()) cancelled.incrementAndGet() }
        if (request.path() == "/half") return answer(request, Buffer.buffer())
        if (request.path().orEmpty().startsWith("/early-")) return answerEarly(request)
        request.body().onSuccess {
            when {
                request.path() == "/raw" -> writeRaw(request, it)
                !stutter(request, it) -> answer(request, it)
            }
        }
    }

    private fun writeRaw(request: HttpServerRequest, bytes: Buffer) {
        val channel = (request.connection() as HttpServerConnection).channelHandlerContext().pipeline()
        channel.firstContext().writeAndFlush(Unpooled.wrappedBuffer(bytes.bytes))
    }

    private fun answerEarly(request: HttpServerRequest) {
        request.pause()
        val channel = (request.connection() as HttpServerConnection).channelHandlerContext().channel()
        val answer = Unpooled.copiedBuffer("HTTP/1.1 200 OK\r\nTarget: $name\r\n\r\nearly", Charsets.US_ASCII)
        channel.pipeline().firstContext().writeAndFlush(answer)
        when (request.path()) {
            "/early-end" -> (channel as DuplexChannel).shutdownOutput()

            "/early-endless" -> {
                val timer = vertx.setPeriodic(ENDLESS_MILLIS) { writeRaw(request, Buffer.buffer("x")) }
                channel.closeFuture().addListener { vertx.cancelTimer(timer) }
            }

            else -> vertx.setTimer(EARLY_RESET_MILLIS) {
                channel.config().setOption(ChannelOption.SO_LINGER, 0)
                channel.close()
            }
        }
    }

    /** Responds to `/fail` and `/stutter`; returns `false` for other paths. */
    private fun stutter(request: HttpServerRequest, body: Buffer): Boolean {
        val path = request.path().orEmpty()
        if (path == "/fail") {
            request.response().setStatusCode(500).end()
            return true
        }
        if (!path.startsWith("/stutter/")) return false
        request.response().end()
        val delay = path.substringAfterLast('/').toLong()
        if (delay == 0L) writeRaw(request, body) else vertx.setTimer(delay) { writeRaw(request, body) }
        return true
    }

    private fun shed(request: HttpServerRequest) {
        shedNext = false
        val response = request.response().setStatusCode(503).putHeader("Not-Run", "true")
        if (request.path() == "/draining") response.putHeader("Draining", "true")
        response.end()
    }

    private fun answer(request: HttpServerRequest, body: Buffer) {
        val response = request.response().putHeader("Target", name)
        val path = request.path().orEmpty()
        val argument = path.substringAfterLast('/')
        if (shedNext || path in setOf("/shed", "/draining")) {
            shed(request)
            return
        }
        when {
            path == "/echo" -> response.putHeader(
                "Correlation",
                request.getHeader("Correlation") ?: "",
            ).end(body)

            path.startsWith("/delay/") -> vertx.setTimer(argument.toLong()) {
                if (!response.closed()) response.end(request.getHeader("Correlation") ?: "")
            }

            path.startsWith("/large/") -> response.end(Buffer.buffer(pattern(argument.toInt())))

            path == "/lose" -> request.connection().close()

            path == "/half" -> {
                response.putHeader("Content-Length", "100000").write(Buffer.buffer(ByteArray(1_000)))
                vertx.setTimer(50) { request.connection().close() }
            }

            path == "/redirect" -> response.setStatusCode(302).putHeader("Location", "/echo").end()

            path == "/hang" -> Unit

            else -> response.setStatusCode(404).end()
        }
    }
}

/** Leaves the daemon time to read the answer, and to find that it can't send more of the request. */
private const val EARLY_RESET_MILLIS = 200L

/** Time between the bytes of an answer without end. */
private const val ENDLESS_MILLIS = 50L

/** Returns [size] bytes that are the same in every process. */
internal fun pattern(size: Int): ByteArray = Random(size).nextBytes(size)
