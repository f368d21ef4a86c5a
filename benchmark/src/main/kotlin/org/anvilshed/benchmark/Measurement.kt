package org.anvilshed.benchmark

import org.anvilshed.standins.LocalDeployment
import org.anvilshed.standins.LocalOptions
import org.anvilshed.standins.Programs
import org.anvilshed.standins.SampleDeployment
import org.anvilshed.standins.TargetCounters
import java.nio.file.Files
import java.util.concurrent.CompletableFuture
import kotlin.io.path.ExperimentalPathApi
import kotlin.io.path.deleteRecursively
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

private const val SAMPLE_INTERVAL_MS = 100L
private const val BITS_PER_BYTE = 8

/** Connections to one target that its entry in the sample bundle allows. */
private const val TARGET_CONNECTION_LIMIT = 330

/**
 * Options common to all measurements.
 *
 * @property duration measured time after [warmUp].
 * @property rate requests per second; `null` for half of the slots' capacity.
 * @property delayed whether traffic between VMs is delayed as between the zones and regions of [sample].
 */
internal data class MeasurementOptions(
    val programs: Programs,
    val sample: SampleDeployment,
    val profile: LoadProfile,
    val duration: Duration,
    val warmUp: Duration,
    val seed: Long,
    val rate: Double?,
    val delayed: Boolean,
)

/**
 * Measurements, each on a new local deployment.
 *
 * @param print receives each finished table.
 */
internal class Measurement(private val options: MeasurementOptions, private val print: (ReportTable) -> Unit) {
    private val kinds = loadKinds(options.sample, options.profile)

    /** Requests per second of the whole load at which the first service has all its slots busy. */
    private val slotCapacity: Double = options.sample.services.minOf { service ->
        val slots = options.sample.targets.filter { it.service == service.name }.sumOf { it.slots }
        val secondsPerRequest = kinds.filter { it.service == service.name }.sumOf { it.fraction * it.workMs / 1_000.0 }
        slots / secondsPerRequest
    }

    private val rate = options.rate ?: (slotCapacity / 2)

    fun load() = withDeployment { deployment, _ ->
        val (result, peakInFlight) = runSampled(deployment, plan(rate), allEntryVms(deployment))
        print(summaryTable(rate, result))
        print(kindTable("latency and outcomes, ${options.sample.name} ${options.profile}", result))
        print(failureTable(result))
        print(headroomTable(deployment, result, peakInFlight))
    }

    fun direct() = withDeployment { deployment, _ ->
        val addresses = options.sample.targets.groupBy({ it.service }, { deployment.targetAddresses.getValue(it.name) })
        val straight = run(plan(rate), LoadDestination(emptyList(), addresses))
        print(kindTable("straight to the targets at ${"%.0f".format(rate)} requests/s", straight))
        print(kindTable("through the entry VMs at the same rate", run(plan(rate), allEntryVms(deployment))))
    }

    fun overload() = withDeployment { deployment, _ ->
        val table =
            ReportTable("goodput", listOf("offered/s", "correct/s", "weighted correct", "not-run", "unknown", "p99 ms"))
        var capacity = 0.0
        val measureAt: (Double) -> Unit = { offered ->
            val result = run(plan(offered), allEntryVms(deployment))
            val goodput = result.count(CallerOutcome.CORRECT) / options.duration.inWholeMilliseconds.toDouble() * 1_000
            capacity = maxOf(capacity, goodput)
            val slowest = result.kinds.maxOf { it.latency.getValueAtPercentile(99.0) } / 1_000.0
            val notRun = result.count(CallerOutcome.NOT_RUN)
            table.add(offered, goodput, result.weightedCorrect, notRun, result.count(CallerOutcome.UNKNOWN), slowest)
        }
        for (fraction in listOf(0.5, 0.7, 0.8, 0.9, 1.0)) measureAt(slotCapacity * fraction)
        measureAt(capacity * 2)
        print(table)
    }

    fun failover() = withDeployment { deployment, _ ->
        val killedVm = options.sample.vms.first().name
        val plan = plan(rate)
        val run = LoadRun(plan, allEntryVms(deployment))
        val result = CompletableFuture.supplyAsync { run.use { it.run() } }
        Thread.sleep((plan.warmUp + plan.duration / 3).inWholeMilliseconds)
        deployment.daemons.getValue(killedVm).kill()
        val measured = result.get()
        print(summaryTable(rate, measured))
        print(failureTable(measured))
        print(
            secondsTable(
                "correct answers by second; $killedVm was killed ${plan.warmUp + plan.duration / 3} after the start",
                measured,
            ),
        )
    }

    fun rollout() = withDeployment { deployment, operators ->
        val table = ReportTable("time from sign-off until in force", listOf("version", "first ms", "last ms"))
        for (version in 2L..11L) {
            operators.submit(deployment.bundleText { it.copy(version = version) })
            val start = System.nanoTime()
            operators.signOff(version)
            val times = deployment.sample.vms.map { vm ->
                CompletableFuture.supplyAsync {
                    deployment.awaitBundle(vm.name, version)
                    (System.nanoTime() - start) / 1_000_000
                }
            }.map { it.get() }
            table.add(version, times.min(), times.max())
        }
        print(table)
    }

    fun drain() = withDeployment { deployment, operators ->
        val run = LoadRun(plan(rate).copy(duration = 180.seconds), allEntryVms(deployment))
        val load = CompletableFuture.supplyAsync { run.use { it.run() } }
        Thread.sleep(options.warmUp.inWholeMilliseconds)
        val table = ReportTable("drain", listOf("what", "value"))
        val target = options.sample.targets.first().name
        operators.submit(deployment.bundleText { it.copy(version = 2, leaving = setOf(target)) })
        val signedOffAt = System.nanoTime()
        operators.signOff(2)
        Thread.sleep(10_000)
        val sinceSignOff = (System.nanoTime() - signedOffAt) / 1_000_000
        val counters = deployment.targetCounters().getValue(target)
        table.add("target $target: last new request after sign-off, ms", sinceSignOff - counters.lastArrivalMsAgo)
        table.add("target $target: requests left 10 s after", counters.inFlight + counters.queued)
        val vm = options.sample.vms.first().name
        val start = System.nanoTime()
        val child = deployment.daemons.getValue(vm)
        child.terminate()
        val code = child.awaitExit(150.seconds)
        table.add("VM $vm: time from SIGTERM to exit, ms", (System.nanoTime() - start) / 1_000_000)
        table.add("VM $vm: exit code", code ?: "none")
        run.isStopped = true
        val result = load.get()
        table.add("requests cut or not sent", result.count(CallerOutcome.CUT) + result.count(CallerOutcome.NOT_SENT))
        print(table)
        print(failureTable(result))
    }

    private fun plan(rate: Double) = LoadPlan(kinds, rate, options.warmUp, options.duration, options.seed)

    private fun allEntryVms(deployment: LocalDeployment) =
        LoadDestination(deployment.addresses.values.map { "http://${it.callers}" })

    private fun run(plan: LoadPlan, destination: LoadDestination): LoadResult = LoadRun(plan, destination).use {
        it.run()
    }

    /** Runs a load and returns its result and, by region, the largest sampled number of requests in service. */
    private fun runSampled(
        deployment: LocalDeployment,
        plan: LoadPlan,
        destination: LoadDestination,
    ): Pair<LoadResult, Map<String, Int>> {
        val peakInFlight = HashMap<String, Int>()
        val load = CompletableFuture.supplyAsync { run(plan, destination) }
        while (!load.isDone) {
            for ((region, counters) in byRegion(deployment)) {
                peakInFlight.merge(region, counters.sumOf { it.inFlight }, ::maxOf)
            }
            Thread.sleep(SAMPLE_INTERVAL_MS)
        }
        return load.get() to peakInFlight
    }

    private fun byRegion(deployment: LocalDeployment): Map<String, List<TargetCounters>> {
        val counters = deployment.targetCounters()
        return options.sample.targets.groupBy({
            options.sample.zones.getValue(it.zone)
        }, { counters.getValue(it.name) })
    }

    private fun headroomTable(
        deployment: LocalDeployment,
        result: LoadResult,
        peakInFlight: Map<String, Int>,
    ): ReportTable {
        val table = ReportTable("headroom used", listOf("limit", "largest use", "limit value", "fraction"))
        for ((region, counters) in byRegion(deployment)) {
            val slots = counters.sumOf { it.slots }
            val used = peakInFlight[region] ?: 0
            table.add("slots of $region, sampled every $SAMPLE_INTERVAL_MS ms", used, slots, used.toDouble() / slots)
        }
        val worst = deployment.targetCounters().values.maxBy { it.peak - it.slots }
        table.add("slots of one target, ${worst.name}", worst.peak, worst.slots, worst.peak.toDouble() / worst.slots)
        val connections = deployment.targetCounters().values.maxOf { it.peakConnections }
        table.add(
            "connections of one target",
            connections,
            TARGET_CONNECTION_LIMIT,
            connections / TARGET_CONNECTION_LIMIT.toDouble(),
        )
        val seconds = options.duration.inWholeMilliseconds / 1_000.0
        val bits = result.kinds.sumOf { it.forwarded.toDouble() * (it.kind.responseBytes + it.kind.requestBytes) } *
            BITS_PER_BYTE / seconds
        table.add(
            "all forwarded bodies, bit/s, against one link",
            bits,
            options.sample.linkBitsPerSecond,
            bits / options.sample.linkBitsPerSecond,
        )
        return table
    }

    private fun summaryTable(offered: Double, result: LoadResult): ReportTable {
        val table = ReportTable("summary", listOf("what", "value"))
        table.add("offered, requests/s", offered)
        table.add("slots' capacity, requests/s", slotCapacity)
        table.add("requests", result.total)
        table.add("correct", result.count(CallerOutcome.CORRECT))
        table.add("correct weighted by worth, fraction", result.weightedCorrect)
        return table
    }

    private fun secondsTable(title: String, result: LoadResult): ReportTable {
        val table = ReportTable(title, listOf("second", "correct"))
        result.correctBySecond.toSortedMap().forEach { (second, count) -> table.add(second, count.sum()) }
        return table
    }

    @OptIn(ExperimentalPathApi::class)
    private fun withDeployment(measure: (LocalDeployment, OperatorActions) -> Unit) {
        val folder = Files.createTempDirectory("anvilshed-measure")
        val local = LocalOptions(delayed = options.delayed)
        LocalDeployment(options.sample, options.programs, folder, local).use { deployment ->
            deployment.start()
            OperatorActions(deployment).use { operators ->
                // Above the capacity of the slots, so that the slots limit the load and not the region's request rate.
                val limit = maxOf(5_000.0, slotCapacity * 2)
                operators.publish(1, deployment.bundleText { it.copy(regionRequestsPerSecond = limit) })
                deployment.sample.vms.forEach { deployment.awaitServing(it.name, 1) }
                measure(deployment, operators)
            }
        }
        folder.deleteRecursively()
    }
}
