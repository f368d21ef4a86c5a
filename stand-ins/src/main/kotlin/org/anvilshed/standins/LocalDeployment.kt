package org.anvilshed.standins

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.boolean
import kotlinx.serialization.json.int
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import java.io.IOException
import java.nio.file.Path
import java.nio.file.attribute.PosixFilePermissions
import java.util.concurrent.ExecutionException
import kotlin.io.path.createDirectories
import kotlin.io.path.readText
import kotlin.io.path.setPosixFilePermissions
import kotlin.io.path.writeText
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

private val START_TIMEOUT = 60.seconds
private val STOP_TIMEOUT = 150.seconds
private val ANVILCTL_TIMEOUT = 60.seconds

/**
 * Network between the peers of a local deployment.
 *
 * @property relayed whether peers dial each other through the network relay; without effect at present, they always do.
 * @property delayed whether the relay applies the delays of the sample deployment.
 */
public data class LocalOptions(public val relayed: Boolean = true, public val delayed: Boolean = false)

/**
 * Sample deployment on loopback addresses of this machine: platform, targets, relay and seven daemons, each in its own
 * process. [close] kills the processes that still run. Files and logs are kept in [folder].
 */
public class LocalDeployment(
    public val sample: SampleDeployment,
    private val programs: Programs,
    public val folder: Path,
    private val options: LocalOptions = LocalOptions(),
) : AutoCloseable {
    private val ports = PortReservation()
    private val children = ArrayList<ChildProcess>()

    /** The two sample operators: the first operator submits bundles, the second operator signs them off. */
    public val operators: List<OperatorKeys> = listOf(OperatorKeys("amina"), OperatorKeys("wanjiru"))
    private val shutdownHook = Thread { children.forEach { it.kill() } }
    private val daemonProcesses = HashMap<String, ChildProcess>()

    /** Addresses of the entry VMs by name. */
    public val addresses: Map<String, VmAddresses> = sample.vms.associate {
        it.name to VmAddresses(ports.reserve(), ports.reserve(), ports.reserve())
    }

    /** HTTP client for the platform stand-in: its control port and its object API. */
    public lateinit var platform: HttpCalls
        private set

    /** HTTP client for the control port of the target stand-ins. */
    public lateinit var targets: HttpCalls
        private set

    /** HTTP client for the control port of the network relay. */
    public lateinit var relay: HttpCalls
        private set

    /** Latest process of each daemon by VM name; it may have ended. */
    public val daemons: Map<String, ChildProcess> get() = daemonProcesses

    /** URL of the platform stand-in. */
    public lateinit var platformUrl: String
        private set

    /** Addresses (IP:port) of the targets by name. */
    public lateinit var targetAddresses: Map<String, String>
        private set

    /** Starts all processes and waits until each daemon answers; no bundle is in force yet. */
    public fun start() {
        Runtime.getRuntime().addShutdownHook(shutdownHook)
        folder.createDirectories()
        val relayAddresses = startStandIns()
        writeSettings(relayAddresses)
        ports.release()
        sample.vms.forEach { startDaemon(it.name) }
        sample.vms.forEach { awaitAlive(it.name) }
    }

    /** Starts the daemon of [vm] with the settings file that [start] wrote; also restarts a daemon that ended. */
    public fun startDaemon(vm: String): ChildProcess {
        val arguments = listOf("run", folder.resolve("$vm.toml").toString())
        return launch(vm, programs.daemon + arguments).also { daemonProcesses[vm] = it }
    }

    /** Waits until the daemon of [vm] answers on its operations port. */
    public fun awaitAlive(vm: String) {
        val child = daemonProcesses.getValue(vm)
        waitUntil("$vm answers /live", START_TIMEOUT) {
            check(child.isAlive) { "$vm ended before it was ready:\n${child.log.readText()}" }
            statusCode(operations(vm), "/live") == 200
        }
    }

    /** Returns an HTTP client for the port for callers of [vm]. */
    public fun callers(vm: String): HttpCalls = HttpCalls("http://${addresses.getValue(vm).callers}")

    /** Returns an HTTP client for the operations port of [vm]. */
    public fun operations(vm: String): HttpCalls = HttpCalls("http://${addresses.getValue(vm).operations}")

    /** Returns a generated bundle document for this deployment, with the options that [change] returns. */
    public fun bundleText(change: (SampleBundleOptions) -> SampleBundleOptions = { it }): String =
        sample.bundleText(change(SampleBundleOptions(targetAddresses)))

    /** Submits [text] as bundle [version] in the name of the first operator; returns the exit code of `anvilctl`. */
    public fun submit(version: Long, text: String): Int {
        val file = folder.resolve("bundle-$version.toml")
        file.writeText(text)
        return runAnvilctl("submit-$version", operators[0], "bundle", "submit", file.toString())
    }

    /** Signs off bundle [version] in the name of the second operator; returns the exit code of `anvilctl`. */
    public fun signOff(version: Long): Int =
        runAnvilctl("sign-off-$version", operators[1], "bundle", "sign-off", version.toString())

    /** Submits and signs off a bundle and waits until it is in force on all running daemons. */
    public fun publish(version: Long, text: String) {
        check(submit(version, text) == 0) { "submission failed:\n${log("submit-$version")}" }
        check(signOff(version) == 0) { "sign-off failed:\n${log("sign-off-$version")}" }
        daemonProcesses.filterValues { it.isAlive }.keys.forEach { awaitBundle(it, version) }
    }

    /** Waits until bundle [version] is in force on [vm]. */
    public fun awaitBundle(vm: String, version: Long, limit: Duration = START_TIMEOUT): Unit =
        waitUntil("bundle $version in force on $vm", limit) { bundleVersion(vm) == version }

    /** Waits until bundle [version] is in force on [vm] and [vm] holds valid shares of its zone and of its region. */
    public fun awaitServing(vm: String, version: Long) {
        val place = sample.vms.first { it.name == vm }
        val scopes = setOf("zone/${place.zone}", "region/${place.region}")
        waitUntil("$vm holds shares", START_TIMEOUT) {
            val shares = status(vm)?.get("seats")?.jsonArray.orEmpty().map { it.jsonObject }
            val validShares = shares.filter {
                it.getValue("valid").jsonPrimitive.boolean &&
                    it.getValue("held").jsonPrimitive.int > 0
            }
            bundleVersion(vm) == version &&
                validShares.map { it.getValue("scope").jsonPrimitive.content }.containsAll(scopes)
        }
    }

    /** Returns the version of the bundle in force on [vm], or `null` if none is in force or [vm] does not answer. */
    public fun bundleVersion(vm: String): Long? =
        status(vm)?.get("bundle_version")?.jsonPrimitive?.content?.toLongOrNull()

    /** Returns the status that [vm] reports, or `null` if [vm] does not answer. */
    public fun status(vm: String): JsonObject? = answerOrNull {
        Json.decodeFromString<JsonObject>(operations(vm).call("GET", "/v1/status").body())
    }

    /** Returns the counters of all targets by name. */
    public fun targetCounters(): Map<String, TargetCounters> =
        Json.decodeFromString<List<TargetCounters>>(targets.call("GET", "/control").body()).associateBy { it.name }

    /** Returns the number of executions by `Request-Id`. */
    public fun executions(): Map<String, Int> =
        Json.decodeFromString<JsonObject>(targets.call("GET", "/executions").body()).mapValues {
            it.value.jsonPrimitive.int
        }

    /** Starts or ends a partition that separates [zone] from the platform and from all other zones. */
    public fun setZonePartitioned(zone: String, partitioned: Boolean) {
        val inside = sample.vms.filter { it.zone == zone }
        val pairs = inside.flatMap { vm ->
            (sample.vms - inside.toSet()).flatMap { listOf("${vm.name}>${it.name}", "${it.name}>${vm.name}") }
        }
        val names = pairs.joinToString { "\"$it\"" }
        relay.call("POST", "/control", """{"pairs":[$names],"cut":$partitioned}""")
        platform.call("POST", "/control", """{"cut_prefixes":[${if (partitioned) "\"$zone-\"" else ""}]}""")
    }

    /** Sends SIGTERM to all daemons; returns the exit codes by VM name, `null` for a daemon that ran beyond [limit]. */
    public fun stopDaemons(limit: Duration = STOP_TIMEOUT): Map<String, Int?> {
        val stopping = daemonProcesses.filterValues { it.isAlive }
        stopping.values.forEach { it.terminate() }
        return stopping.mapValues { it.value.awaitExit(limit) }
    }

    /** Returns the output of the process [name] so far. */
    public fun log(name: String): String = folder.resolve("$name.log").readText()

    override fun close() {
        children.forEach { it.kill() }
        ports.release()
        runCatching { Runtime.getRuntime().removeShutdownHook(shutdownHook) }
    }

    private fun startStandIns(): Map<String, String> {
        val specs = sample.targets.map { TargetSpec(it.name, ports.host, slots = it.slots) }
        val links = sample.vms.map { RelaySpec(it.name, ports.reserve(), addresses.getValue(it.name).peers) }
        val relayed = links.associate { it.name to it.listen }
        val platformChild = launchStandIn("platform")
        val targetsChild = launchStandIn("targets", file("targets.json", Json.encodeToString(specs)))
        platformUrl = "http://${ports.host}:${readyPort(platformChild.awaitReady())}"
        platform = HttpCalls(platformUrl)
        val lines = targetsChild.awaitReady()
        targets = HttpCalls("http://${ports.host}:${readyPort(lines)}")
        targetAddresses = lines.map { it.split(' ') }.filter { it.first() == "target" }
            .associate { (_, name, port) -> name to "${ports.host}:$port" }
        setVmList(relayed)
        startRelay(links)
        return relayed
    }

    private fun startRelay(links: List<RelaySpec>) {
        // The relay binds these addresses itself, so their reservation is released just before the relay starts.
        ports.release(links.map { it.listen })
        val child = launchStandIn("relay", file("relay.json", Json.encodeToString(links)))
        relay = HttpCalls("http://${ports.host}:${readyPort(child.awaitReady())}")
        if (!options.delayed) return
        for ((from, to) in sample.vms.flatMap { from -> (sample.vms - from).map { from to it } }) {
            val delay = if (from.region == to.region) sample.zoneDelayMs else sample.regionDelayMs
            if (from.zone == to.zone) continue
            relay.call("POST", "/control", """{"pairs":["${from.name}>${to.name}"],"delay_ms":$delay}""")
        }
    }

    private fun setVmList(relayed: Map<String, String>) {
        val entries = sample.vms.map { ListedVm(it.name, "entry", it.zone, relayed.getValue(it.name)) }
        val listed = sample.targets.map { ListedVm(it.name, "target", it.zone, targetAddresses.getValue(it.name)) }
        platform.call("POST", "/control", Json.encodeToString(PlatformControl(vms = entries + listed)))
    }

    private fun writeSettings(relayAddresses: Map<String, String>) {
        val settings = SampleSettings(platformUrl, addresses, relayAddresses, operators)
        for (vm in sample.vms) file("${vm.name}.toml", sample.settingsText(vm, settings))
        for (operator in operators) {
            val key = file("${operator.name}.key", operator.privateKey + "\n")
            key.setPosixFilePermissions(PosixFilePermissions.fromString("rw-------"))
        }
    }

    private fun runAnvilctl(logName: String, operator: OperatorKeys, vararg arguments: String): Int {
        val options =
            listOf(
                "--settings",
                folder.resolve("${sample.vms.first().name}.toml").toString(),
                "--operator",
                operator.name,
                "--key",
                folder.resolve("${operator.name}.key").toString(),
            )
        val child = launch(logName, programs.operator + arguments + options)
        return checkNotNull(child.awaitExit(ANVILCTL_TIMEOUT)) { "anvilctl did not end within $ANVILCTL_TIMEOUT" }
    }

    private fun launchStandIn(name: String, vararg arguments: Path): ChildProcess =
        launch(name, programs.standIns + name + "--host" + ports.host + arguments.map { it.toString() })

    private fun launch(name: String, command: List<String>): ChildProcess {
        val log = folder.resolve("$name.log")
        val process = ProcessBuilder(command).redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile())).start()
        return ChildProcess(name, process, log).also { children += it }
    }

    private fun file(name: String, text: String): Path = folder.resolve(name).also { it.writeText(text) }
}

/** Returns the status code of the response to `GET` [path], or `null` if no response is received. */
public fun statusCode(calls: HttpCalls, path: String): Int? = answerOrNull { calls.call("GET", path).statusCode() }

private fun <T> answerOrNull(call: () -> T): T? = try {
    call()
} catch (failure: ExecutionException) {
    if (failure.cause is IOException) null else throw failure
}
