package org.anvilshed.daemon.testbed

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.matchers.shouldBe
import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpMethod
import io.vertx.core.http.PoolOptions
import io.vertx.core.json.JsonObject
import io.vertx.ext.web.client.HttpRequest
import io.vertx.ext.web.client.HttpResponse
import io.vertx.ext.web.client.WebClient
import io.vertx.ext.web.client.WebClientOptions
import io.vertx.kotlin.coroutines.coAwait
import org.anvilshed.daemon.Daemon
import org.anvilshed.daemon.DaemonClock
import org.anvilshed.daemon.SystemClock
import org.anvilshed.daemon.settings.SettingsResult
import org.anvilshed.daemon.settings.readSettings
import kotlin.time.Duration.Companion.seconds

/** Longest time for which a test waits for a condition. */
internal val TIMEOUT = 30.seconds

/** Longest duration of a test, so that a request that never ends fails the test. */
internal val TEST_TIMEOUT = 60.seconds

/** A zone of the testbed with its own targets. */
internal data class TestZone(val name: String, val region: String)

/** Runs a platform, targets and daemons in this process on loopback, on ports that the system chooses. */
internal class Testbed(private val zones: List<TestZone>, private val targetsPerZone: Int = 1) {
    val vertx: Vertx = Vertx.vertx()
    val platform = FakePlatform(vertx)
    val operators = SignedBundles()
    val targets: Map<String, List<FakeTarget>> = zones.associate { zone ->
        zone.name to (1..targetsPerZone).map { FakeTarget(vertx, "${zone.name}-target-$it") }
    }
    val daemons = LinkedHashMap<String, Daemon>()
    private val client = WebClient.create(
        vertx,
        WebClientOptions().setFollowRedirects(false),
        PoolOptions().setHttp1MaxSize(200),
    )

    suspend fun start() {
        platform.start()
        targets.values.flatten().forEach { it.start() }
        operators.publish(platform, 1, bundle(1))
    }

    /** Starts the daemon [name] in [zone], with the daemons that were started before as its peers. */
    suspend fun startDaemon(
        name: String,
        zone: TestZone,
        extra: String = "",
        clock: DaemonClock = SystemClock,
    ): Daemon {
        val settings = readSettings(settingsOf(name, zone, extra))
        val daemon = Daemon.start((settings as? SettingsResult.Valid ?: error(settings.toString())).settings, clock)
        daemons[name] = daemon
        return daemon
    }

    /** Waits until all daemons serve, see each other and own slots of the targets in their zones. */
    suspend fun awaitReady() {
        for ((name, daemon) in daemons) {
            eventually(TIMEOUT) {
                val status = status(daemon)
                status.getString("state") shouldBe "serving"
                val owned = status.getJsonArray("targets").map {
                    it as JsonObject
                }.sumOf { it.getInteger("owned_slots") }
                check(owned > 0) { "$name owns no slot" }
                status.getJsonArray("peers").size() shouldBe daemons.size - 1
                status.getJsonArray("peers").forEach { (it as JsonObject).getString("state") shouldBe "alive" }
            }
        }
    }

    suspend fun stop() {
        daemons.values.forEach { it.kill() }
        targets.values.flatten().forEach { it.stop() }
        platform.stop()
        client.close()
        vertx.close().coAwait()
    }

    suspend fun status(daemon: Daemon): JsonObject =
        client.get(daemon.ports.operations, "127.0.0.1", "/v1/status").send().coAwait().json()

    suspend fun metrics(daemon: Daemon): String =
        client.get(daemon.ports.operations, "127.0.0.1", "/metrics").send().coAwait().bodyAsString().orEmpty()

    suspend fun lookup(daemon: Daemon): JsonObject =
        client.get(daemon.ports.callers, "127.0.0.1", "/v1/entry").send().coAwait().json()

    /** Returns the token of [vm] that [daemon] lists in a lookup. */
    suspend fun token(daemon: Daemon, vm: String): String = lookup(daemon).getJsonArray("entries")
        .map { it as JsonObject }.first { it.getString("vm") == vm }.getString("token")

    fun request(daemon: Daemon, method: HttpMethod, path: String, kind: String): HttpRequest<Buffer> =
        client.request(method, daemon.ports.callers, "127.0.0.1", "/v1/services/booking$path")
            .putHeader("Anvilshed-Kind", kind)
            .timeout(TIMEOUT.inWholeMilliseconds)

    suspend fun read(daemon: Daemon, path: String): HttpResponse<Buffer> =
        request(daemon, HttpMethod.GET, path, "read").send().coAwait()

    /** Sends the non-idempotent request [identifier] with a deadline of [deadline] milliseconds. */
    suspend fun pay(daemon: Daemon, path: String, identifier: String, deadline: Long = 5_000): HttpResponse<Buffer> =
        request(daemon, HttpMethod.POST, path, "pay")
            .putHeader("Anvilshed-Request-Id", identifier)
            .putHeader("Anvilshed-Deadline-Ms", "$deadline")
            .sendBuffer(Buffer.buffer("payout")).coAwait()

    fun target(zone: String): FakeTarget = targets.getValue(zone).first()

    /** Returns a bundle document with [version], after [change] was applied to its text. */
    fun bundle(version: Long, change: (String) -> String = { it }): String {
        val regions = zones.map { it.region }.distinct()
        val links = regions.flatMap { from -> (regions - from).map { to -> from to to } }
        return change(
            """
            format = 1
            version = $version
            lookup_ttl_ms = 200
            [[services]]
            name = "booking"
            maximum_body_bytes = 20000000
            shift_cap = 0.9
            shift_window_ms = 1000
            shift_ramp = 0.5
            [[kinds]]
            service = "booking"
            name = "read"
            idempotent = true
            worth = 1.0
            deadline_ms = 5000
            maximum_deadline_ms = 10000
            [[kinds]]
            service = "booking"
            name = "pay"
            idempotent = false
            worth = 20.0
            deadline_ms = 5000
            maximum_deadline_ms = 10000
            """.trimIndent() + "\n" +
                regions.joinToString("") { "[[regions]]\nname = \"$it\"\nrequests_per_second = 100000.0\n" } +
                zones.joinToString("") { "[[zones]]\nname = \"${it.name}\"\nregion = \"${it.region}\"\n" } +
                links.joinToString("") { (from, to) ->
                    "[[links]]\nfrom = \"$from\"\nto = \"$to\"\nbits_per_second = 4000000000\nusable = 0.9\n"
                } +
                targets.entries.joinToString("") { (zone, list) -> list.joinToString("") { targetTable(zone, it) } },
        )
    }

    private fun targetTable(zone: String, target: FakeTarget) = """
        [[targets]]
        service = "booking"
        name = "${target.name}"
        zone = "$zone"
        address = "127.0.0.1:${target.port}"
        slots = 4
        connections = 100
        state = "active"
    """.trimIndent() + "\n"

    private fun settingsOf(name: String, zone: TestZone, extra: String): String = """
        [vm]
        name = "$name"
        region = "${zone.region}"
        zone = "${zone.name}"
        [listen]
        callers = "127.0.0.1:0"
        peers = "127.0.0.1:0"
        operations = "127.0.0.1:0"
        [platform]
        url = "${platform.url}"
    """.trimIndent() + "\n" + operators.operatorSettings + daemons.entries.joinToString("") { (peer, daemon) ->
        "[[peers]]\nname = \"$peer\"\nzone = \"${zoneOf(peer)}\"\nregion = \"${regionOf(peer)}\"\n" +
            "address = \"127.0.0.1:${daemon.ports.peers}\"\n"
    } + extra

    /** Daemons are named `<zone>-vm-<n>`. */
    private fun zoneOf(name: String): String = name.substringBefore("-vm-")

    private fun regionOf(name: String): String = zones.first { it.name == zoneOf(name) }.region
}

/** Returns the body, which is empty if there is none. */
internal fun HttpResponse<Buffer>.bytes(): ByteArray = body()?.bytes ?: ByteArray(0)

private fun HttpResponse<Buffer>.json(): JsonObject = JsonObject(bodyAsString().orEmpty())
