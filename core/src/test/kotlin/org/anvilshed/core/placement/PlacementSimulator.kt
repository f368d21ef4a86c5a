package org.anvilshed.core.placement

import org.anvilshed.core.MonotonicTime
import org.anvilshed.core.RegionName
import org.anvilshed.core.ServiceName
import org.anvilshed.core.SocketAddress
import org.anvilshed.core.ZoneName
import org.anvilshed.core.fleet.RegisteredTarget
import org.anvilshed.core.fleet.TargetKey
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * One region of a simulation; its only zone has the same name.
 *
 * @property targets number of targets.
 * @property entryVms number of VMs, among which callers choose at random.
 * @property requestsPerSecond rate of the callers' first attempts.
 */
internal data class SimulatedRegion(
    val name: String,
    val targets: Int,
    val entryVms: Int,
    val requestsPerSecond: Double,
)

/**
 * Load and targets of a simulation; the defaults resemble a lookup service of the users.
 *
 * @property slots slots of each target.
 * @property objects number of objects of each region, all requested equally often.
 * @property cacheSize number of objects that a target caches; the least recently used one is evicted.
 * @property processingTime time that a request takes for an object that the target has not cached.
 * @property cachedFraction fraction of [processingTime] that a request takes if the target has the object cached.
 * @property roundTripTime network round-trip time to a target of another region.
 * @property latencyObjective time after a request within which an answer counts as in time.
 * @property deadline time after a request at which its caller abandons it.
 */
internal data class SimulatedLoad(
    val regions: List<SimulatedRegion>,
    val slots: Int = 5,
    val objects: Int = 70,
    val cacheSize: Int = 74,
    val processingTime: Duration = 240.milliseconds,
    val cachedFraction: Double = 0.3,
    val roundTripTime: Duration = 110.milliseconds,
    val latencyObjective: Duration = 300.milliseconds,
    val deadline: Duration = 1200.milliseconds,
) {
    /** Returns the same load with [factor] times the requests. */
    fun times(factor: Double): SimulatedLoad =
        copy(regions = regions.map { it.copy(requestsPerSecond = it.requestsPerSecond * factor) })

    /** Largest fraction of the requests that any policy can answer: all slots are busy, always with cached objects. */
    val maximumServedFraction: Double
        get() {
            val needed =
                regions.sumOf { it.requestsPerSecond } * processingTime.toDouble(DurationUnit.SECONDS) * cachedFraction
            return (regions.sumOf { it.targets } * slots / needed).coerceAtMost(1.0)
        }
}

/** Part of the placement that a simulation leaves out, for comparison. */
internal enum class Baseline {
    /** Nothing is left out. */
    NONE,

    /** Requests stay in their own region. */
    OWN_REGION_ONLY,

    /** Requests carry no object, so their placement does not depend on what targets have cached. */
    OBJECTS_IGNORED,
}

/** Number of callers of one region by the answer that they got. */
internal data class CallerCounts(var inTime: Int = 0, var late: Int = 0, var refused: Int = 0) {
    val inTimeFraction: Double
        get() = inTime.toDouble() / (inTime + late + refused).coerceAtLeast(1)
}

/**
 * Simulates a load on the service pools of several VMs and on targets, in steps of a millisecond and without a network.
 *
 * Refused callers do not try again. VMs announce their load with the periods of the gateway, and announcements arrive
 * at once. The result depends on nothing but the load, the seed and the baseline.
 */
internal class PlacementSimulator(
    private val load: SimulatedLoad,
    seed: Int,
    private val baseline: Baseline = Baseline.NONE,
) {
    private class Target(val entry: RegisteredTarget, val region: String, cacheSize: Int) {
        val running = ArrayList<Arrival>()
        val queue = ArrayDeque<Arrival>()
        val objects = object : LinkedHashMap<String, Unit>(16, 0.75f, true) {
            override fun removeEldestEntry(eldest: Map.Entry<String, Unit>): Boolean = size > cacheSize
        }
    }

    private class Vm(val name: String, val region: String, val pool: ServicePool) {
        val announced = HashMap<String, Map<String, Double>>()
        val waitingKeys = HashMap<WaitingRequest, String>()
    }

    private class Arrival(val vm: Vm, val inFlight: InFlightRequest, val key: String, val at: MonotonicTime) {
        var endsAt: MonotonicTime = at
    }

    private class Answer(val arrival: Arrival, val at: MonotonicTime, val outcome: TargetOutcome)

    private val random = Random(seed)
    private val regionsOfZones = load.regions.associate { ZoneName(it.name) to RegionName(it.name) }
    private val targets = load.regions.flatMap { region ->
        List(region.targets) { Target(entry("${region.name}-target-$it", region.name), region.name, load.cacheSize) }
    }
    private val targetsByKey = targets.associateBy { it.entry.key }
    private val vms = load.regions.flatMap { region ->
        List(region.entryVms) { newVm("${region.name}-vm-$it", region.name) }
    }
    private val inTransit = ArrayList<Arrival>()
    private val answers = ArrayList<Answer>()
    private var now = MonotonicTime(1_000_000_000_000)
    private var step = 0L

    /** Simulates the next [duration] and returns how the requests that ended in it were answered, by region. */
    fun run(duration: Duration): Map<String, CallerCounts> {
        val counts = load.regions.associate { it.name to CallerCounts() }
        repeat(duration.inWholeMilliseconds.toInt()) {
            now += 1.milliseconds
            step++
            arrive(counts)
            runTargets()
            deliverAnswers(counts)
            if (step % REGIONAL_PERIOD == 0L) announce(toAll = step % GLOBAL_PERIOD == 0L)
            if (step % CHECK_PERIOD == 0L) vms.forEach { dispatchWaiting(it, counts) }
        }
        return counts
    }

    private fun entry(name: String, zone: String) = RegisteredTarget(
        key = TargetKey(name, 1),
        service = ServiceName("service"),
        address = SocketAddress("127.0.0.1", 80),
        zone = ZoneName(zone),
        slots = load.slots,
        draining = false,
        coldUntil = MonotonicTime(0),
    )

    private fun newVm(name: String, region: String): Vm {
        val settings = PlacementSettings(ZoneName(region), regionsOfZones, 0.2, 10.seconds, 56.0, 1.5, 5.0, 0.15)
        val shiftLimiter = ShiftChangeLimiter({ settings.maximumShift }, RegionName(region))
        val pool = ServicePool(name, { settings }, shiftLimiter) { zone -> roundTripTime(region, zone.value) }
        pool.updateTargets(targets.map { it.entry }, emptySet(), now)
        return Vm(name, region, pool)
    }

    private fun roundTripTime(from: String, to: String): Duration = if (from ==
        to
    ) {
        2.milliseconds
    } else {
        load.roundTripTime
    }

    private fun arrive(counts: Map<String, CallerCounts>) {
        for (region in load.regions) {
            if (random.nextDouble() >= region.requestsPerSecond / MILLISECONDS_PER_SECOND) continue
            val vm = vms.filter { it.region == region.name }.random(random)
            val key = "${region.name}-${random.nextInt(load.objects)}"
            val request = PlacementRequest(
                workloadClass = WorkloadClass(
                    idempotent = true,
                    priority = 1,
                    latencyObjective = load.latencyObjective,
                ),
                startedAt = now,
                deadline = now + load.deadline,
                affinityKey = key.takeIf { baseline != Baseline.OBJECTS_IGNORED },
                homeRegions = if (baseline == Baseline.OWN_REGION_ONLY) setOf(RegionName(region.name)) else emptySet(),
            )
            take(vm, key, vm.pool.offer(request, now), counts)
        }
    }

    private fun take(vm: Vm, key: String, placement: Placement, counts: Map<String, CallerCounts>) {
        when (placement) {
            is Placement.Refuse -> counts.getValue(vm.region).refused++

            is Placement.Wait -> vm.waitingKeys[placement.ticket] = key

            is Placement.Send -> {
                val arrivesAt = now + roundTripTime(vm.region, placement.target.zone.value) / 2
                inTransit.add(Arrival(vm, placement.inFlight, key, arrivesAt))
            }
        }
    }

    private fun runTargets() {
        for (arrival in inTransit.filter { it.at <= now }) {
            val target = targetOf(arrival)
            if (target.queue.size < load.slots * QUEUE_PER_SLOT) target.queue.add(arrival) else shed(arrival)
        }
        inTransit.removeAll { it.at <= now }
        for (target in targets) {
            for (arrival in target.running.filter { it.endsAt <= now }) {
                target.running.remove(arrival)
                val report = LoadReport(target.running.size, target.queue.size, load.slots)
                answer(arrival, TargetOutcome.Answered(failed = false, report))
            }
            while (target.running.size < load.slots) start(target, target.queue.removeFirstOrNull() ?: break)
        }
    }

    private fun start(target: Target, arrival: Arrival) {
        val isCached = target.objects.put(arrival.key, Unit) != null
        val variation = random.nextDouble(MINIMUM_VARIATION, MAXIMUM_VARIATION)
        arrival.endsAt = now + load.processingTime * variation * (if (isCached) load.cachedFraction else 1.0)
        target.running.add(arrival)
    }

    private fun shed(arrival: Arrival) = answer(arrival, TargetOutcome.Shed(LoadReport(load.slots, 1, load.slots)))

    private fun answer(arrival: Arrival, outcome: TargetOutcome) {
        answers.add(Answer(arrival, now + roundTripTime(arrival.vm.region, targetOf(arrival).region) / 2, outcome))
    }

    private fun targetOf(arrival: Arrival): Target = targetsByKey.getValue(arrival.inFlight.load.target.key)

    private fun deliverAnswers(counts: Map<String, CallerCounts>) {
        val arrived = answers.filter { it.at <= now }
        answers.removeAll(arrived)
        for (answer in arrived) {
            val vm = answer.arrival.vm
            val inFlight = answer.arrival.inFlight
            vm.pool.finish(inFlight, answer.outcome, now)
            val count = counts.getValue(vm.region)
            when {
                answer.outcome is TargetOutcome.Shed -> count.refused++
                now - inFlight.request.startedAt <= load.latencyObjective -> count.inTime++
                else -> count.late++
            }
            dispatchWaiting(vm, counts)
        }
    }

    private fun dispatchWaiting(vm: Vm, counts: Map<String, CallerCounts>) {
        for ((ticket, placement) in vm.pool.dispatchWaiting(now)) {
            take(vm, vm.waitingKeys.remove(ticket).orEmpty(), placement, counts)
        }
    }

    private fun announce(toAll: Boolean) {
        for (vm in vms) {
            val occupied = vm.pool.occupiedSlots()
            val receivers = vms.filter { it !== vm && (toAll || it.region == vm.region) }
            for (receiver in receivers) receiver.announced[vm.name] = occupied
        }
        for (vm in vms) vm.pool.updateAnnouncedSlots { name -> vm.announced.values.sumOf { it[name] ?: 0.0 } }
    }

    private companion object {
        /** Periods of the gateway's announcements within and between regions and of its checks, in milliseconds. */
        const val REGIONAL_PERIOD = 80L
        const val GLOBAL_PERIOD = 400L
        const val CHECK_PERIOD = 20L
        const val MILLISECONDS_PER_SECOND = 1000.0

        /** Requests that a target queues for each slot. */
        const val QUEUE_PER_SLOT = 3
        const val MINIMUM_VARIATION = 0.85
        const val MAXIMUM_VARIATION = 1.15
    }
}
