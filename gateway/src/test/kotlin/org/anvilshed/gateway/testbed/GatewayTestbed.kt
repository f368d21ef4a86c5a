package org.anvilshed.gateway.testbed

import io.vertx.core.Vertx
import io.vertx.core.json.JsonObject
import io.vertx.kotlin.coroutines.dispatcher
import kotlinx.coroutines.CoroutineExceptionHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.async
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import org.anvilshed.core.RegionName
import org.anvilshed.core.ServiceName
import org.anvilshed.core.SocketAddress
import org.anvilshed.core.VmName
import org.anvilshed.core.ZoneName
import org.anvilshed.core.fleet.RegisteredTarget
import org.anvilshed.core.fleet.TargetKey
import org.anvilshed.core.ingress.CallerLimits
import org.anvilshed.core.ingress.IngressConfig
import org.anvilshed.core.ingress.IngressRoute
import org.anvilshed.core.ingress.RoutePart
import org.anvilshed.core.ingress.ServicePolicy
import org.anvilshed.core.placement.PlacementSettings
import org.anvilshed.gateway.DecisionLog
import org.anvilshed.gateway.Gateway
import org.anvilshed.gateway.GatewayMetrics
import org.anvilshed.gateway.GatewaySettings
import org.anvilshed.gateway.ListenSettings
import org.anvilshed.gateway.MonotonicClock
import org.anvilshed.gateway.RequestHeaderNames
import org.anvilshed.gateway.StoreDecoders
import org.anvilshed.gateway.store.ContentVersion
import org.anvilshed.gateway.store.StoreKind
import org.anvilshed.gateway.systemClock
import java.io.InputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

val TEST_ZONE = ZoneName("zone-a")
private val SERVICE = ServiceName("service")
private const val MAXIMUM_BODY_BYTES = 65_536L

private val HEADER_NAMES = RequestHeaderNames(
    requestId = "X-Id",
    deadlineMillis = "X-Deadline",
    affinityKey = "X-Key",
    caller = "X-Caller",
    notExecuted = "X-Not-Run",
    expectedTarget = "X-Target",
    targetLoad = "X-Load",
    targetRateLimit = "X-Rate-Limit",
    targetLeaving = "X-Leaving",
)

private val DECODERS = StoreDecoders(
    config = { stored ->
        stored.content?.getLong("version")?.let {
            testConfig(it, stored.content.getLong("maximum_body_bytes", MAXIMUM_BODY_BYTES))
        }
    },
    target = { stored, now ->
        stored.content?.getInteger("port")?.let { port ->
            RegisteredTarget(
                key = TargetKey(stored.name, stored.content.getLong("started_at") ?: 1),
                service = SERVICE,
                address = SocketAddress("127.0.0.1", port),
                zone = TEST_ZONE,
                slots = 4,
                draining = stored.content.getValue("draining") == true,
                coldUntil = now,
            )
        }
    },
    evacuatedZone = { ZoneName(it.name) },
    contentVersion = { _, stored ->
        val content = stored.content ?: JsonObject()
        val sequence: Long? = content.getLong("sequence")
        val endsLifetime = content.getValue("draining") == true
        content.getLong("version")?.let { ContentVersion(0, it) }
            ?: sequence?.let { ContentVersion(content.getLong("started_at"), it, endsLifetime) }
    },
)

/** Config with an idempotent route `/safe/` and a non-idempotent route `/once/`; version 2 adds the route `/new/`. */
private fun testConfig(version: Long, maximumBodyBytes: Long): IngressConfig {
    fun route(name: String, idempotent: Boolean) = IngressRoute(
        name = name,
        host = "test.example",
        pathPrefix = "/$name/",
        idempotent = idempotent,
        timeout = 2.seconds,
        latencyObjective = 500.milliseconds,
        priority = 1,
        parts = listOf(RoutePart(SERVICE, 1)),
        maximumAttempts = 2,
        sticky = true,
        homeRegions = emptySet(),
    )
    val routes = listOf(route("safe", true), route("once", false)) + listOf(route("new", true)).filter { version >= 2 }
    val limits = CallerLimits(16_384, maximumBodyBytes, 500.milliseconds, 3.seconds)
    return IngressConfig(version, routes, mapOf(SERVICE to ServicePolicy(100, 1.seconds, 10.0)), limits)
}

/** Response as a caller reads it from the socket; [complete] is `false` if it ended early. */
class CallerResponse(val status: Int, val headers: Map<String, String>, val body: String, val complete: Boolean)

/** Gateway on loopback addresses with a store in memory. */
class GatewayTestbed(
    val store: InMemoryStore = InMemoryStore(),
    name: String = "vm-1",
    seeds: List<SocketAddress> = emptyList(),
    host: String = "127.0.0.1",
    peerPort: Int = freePort(),
    private val vertx: Vertx = Vertx.vertx(),
    start: Boolean = true,
    stopTimeout: Duration = 3.seconds,
    clock: MonotonicClock = systemClock,
) : AutoCloseable {
    val settings = GatewaySettings(
        name = VmName(name),
        region = RegionName("region"),
        listen = ListenSettings(address(host), address(host), address(host), address(host)),
        peerPort = peerPort,
        seeds = seeds,
        placement = PlacementSettings(
            TEST_ZONE,
            mapOf(TEST_ZONE to RegionName("region")),
            0.2,
            10.seconds,
            50.0,
            1.5,
            5.0,
            0.15,
        ),
        reportPeriod = 1500.milliseconds,
        lookupTimeToLive = 200.milliseconds,
        changeLimit = 2500.milliseconds,
        stopTimeout = stopTimeout,
    )
    private val failures = CopyOnWriteArrayList<Throwable>()
    private val writtenTargets = CopyOnWriteArrayList<String>()
    private val scope = CoroutineScope(
        vertx.dispatcher() + SupervisorJob() + CoroutineExceptionHandler { _, failure -> failures.add(failure) },
    )
    val gateway =
        Gateway(vertx, scope, settings, HEADER_NAMES, store, DECODERS, DecisionLog(clock), GatewayMetrics(), clock)

    init {
        if (start) onEventLoop { gateway.start() }
    }

    fun <T> onEventLoop(block: suspend () -> T): T = runBlocking { scope.async { block() }.await() }

    /** Starts [block] on the event loop; it is cancelled with the testbed. */
    fun inBackground(block: suspend () -> Unit) {
        scope.launch { block() }
    }

    fun config(version: Long, maximumBodyBytes: Long = MAXIMUM_BODY_BYTES) {
        val content = JsonObject().put("version", version).put("maximum_body_bytes", maximumBodyBytes)
        store.set(StoreKind.CONFIG, "main", content)
    }

    /**
     * Writes the entry of [target], whose process started at [startedAt]; of two entries, the one with the higher
     * [sequence] is the newer one.
     */
    fun target(
        name: String,
        target: ScriptedTarget,
        draining: Boolean = false,
        sequence: Long? = null,
        startedAt: Long = 1,
    ) {
        val content = JsonObject().put("port", target.port).put("draining", draining).put("sequence", sequence)
            .put("started_at", startedAt)
        store.set(StoreKind.TARGETS, name, content)
        writtenTargets.add(name)
    }

    /** Waits until the gateway is ready and has received the entries of all targets that are written. */
    fun awaitReady() = await {
        val expected = writtenTargets.filter { it in store.names(StoreKind.TARGETS) }
        onEventLoop { gateway.isReady && gateway.targetNames.containsAll(expected) }
    }

    /** Sends one request on a new connection and reads the response to its end. */
    fun call(
        path: String,
        id: String = "id-1",
        method: String = "GET",
        body: String? = null,
        deadline: Int = 2_000,
        extra: String = "",
    ): CallerResponse {
        val fields = extra + body?.let { "Content-Length: ${it.length}\r\n" }.orEmpty()
        return raw(
            "$method $path HTTP/1.1\r\nHost: test.example\r\nX-Id: $id\r\nX-Deadline: $deadline\r\n$fields\r\n" +
                body.orEmpty(),
        )
    }

    /** Writes [text] to a new connection and reads one response. */
    fun raw(text: String): CallerResponse = connect().use { socket ->
        ScriptedTarget.write(socket, text)
        readResponse(socket)
    }

    fun connect(): Socket = Socket(settings.listen.callers.host, settings.listen.callers.port).apply {
        soTimeout =
            10_000
    }

    fun readResponse(socket: Socket): CallerResponse {
        val input = socket.getInputStream()
        val head = StringBuilder()
        while (!head.endsWith("\r\n\r\n")) {
            val byte = input.read()
            if (byte < 0) return CallerResponse(0, emptyMap(), "", complete = false)
            head.append(byte.toChar())
        }
        val lines = head.trim().lines()
        val headers = lines.drop(1).associate { it.substringBefore(':').lowercase() to it.substringAfter(':').trim() }
        val status = lines.first().split(' ')[1].toInt()
        if (headers["transfer-encoding"] == "chunked") {
            val body = StringBuilder()
            val isComplete = readChunks(input, body)
            return CallerResponse(status, headers, body.toString(), isComplete)
        }
        val length = headers["content-length"]?.toInt() ?: 0
        val body = runCatching { input.readNBytes(length) }.getOrDefault(ByteArray(0))
        return CallerResponse(status, headers, String(body), body.size == length)
    }

    /** Appends the chunks of a body to [body]; returns whether the last chunk was read. */
    private fun readChunks(input: InputStream, body: StringBuilder): Boolean {
        while (true) {
            val size =
                runCatching { ScriptedTarget.readLine(input) }.getOrNull()?.toIntOrNull(radix = 16) ?: return false
            val chunk = runCatching { input.readNBytes(size) }.getOrDefault(ByteArray(0))
            body.append(String(chunk))
            if (chunk.size < size || runCatching { ScriptedTarget.readLine(input) }.getOrNull() != "") return false
            if (size == 0) return true
        }
    }

    /** Stops the gateway on another thread; the result completes when it has stopped. */
    fun stopInBackground(): CompletableFuture<Unit> = CompletableFuture.supplyAsync { onEventLoop { gateway.stop() } }

    /** @throws IllegalStateException if a coroutine of the gateway failed. */
    override fun close() {
        vertx.close()
        check(failures.isEmpty()) { "uncaught: ${failures.first().stackTraceToString()}" }
    }

    companion object {
        fun freePort(): Int = ServerSocket(0, 1, InetAddress.getByName("127.0.0.1")).use { it.localPort }

        private fun address(host: String) = SocketAddress(host, freePort())

        /** Waits until [condition] holds; a test that fails ends after [limit]. */
        fun await(limit: Duration = 20.seconds, condition: () -> Boolean) {
            val end = System.nanoTime() + limit.inWholeNanoseconds
            while (!condition()) {
                check(System.nanoTime() < end) { "condition not met within $limit" }
                Thread.sleep(10)
            }
        }
    }
}

/** Runs [test] with a gateway and one target for each of [responses], which writes the responses of that target. */
fun withTargets(
    vararg responses: (ReceivedRequest, Socket) -> Unit,
    maximumBodyBytes: Long = MAXIMUM_BODY_BYTES,
    test: (GatewayTestbed, List<ScriptedTarget>) -> Unit,
) {
    val targets = responses.map(::ScriptedTarget)
    GatewayTestbed().use { testbed ->
        testbed.config(1, maximumBodyBytes)
        targets.forEachIndexed { index, target -> testbed.target("target-$index", target) }
        testbed.awaitReady()
        test(testbed, targets)
    }
    targets.forEach { it.close() }
}
