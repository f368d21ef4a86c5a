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
 * One region of a played load; its only zone has the same name.
 *
 * @property targets number of targets.
 * @property entryVms number of VMs, among which callers choose at random.
 * @property requestsPerSecond rate of first attempts.
 */
internal data class PlayedRegion(val name: String, val targets: Int, val entryVms: Int, val requestsPerSecond: Double)

/**
 * Load and targets of a run; the defaults resemble a look-up service of the users.
 *
 * @property objects objects of each region, all asked for equally often.
 * @property keptObjects objects that a target keeps, the latest used.
 * @property work time that a request takes for an object that the target does not keep.
 * @property knownShare part of [work] that it takes if the target keeps the object.
 * @property trip time to a target of another region and back.
 */
internal data class PlayedLoad(
    val regions: List<PlayedRegion>,
    val slots: Int = 5,
    val objects: Int = 70,
    val keptObjects: Int = 74,
    val work: Duration = 240.milliseconds,
    val knownShare: Double = 0.3,
    val trip: Duration = 110.milliseconds,
    val goal: Duration = 300.milliseconds,
    val deadline: Duration = 1200.milliseconds,
) {
    /** Returns the same load with [factor] times the requests. */
    fun times(factor: Double): PlayedLoad =
        copy(regions = regions.map { it.copy(requestsPerSecond = it.requestsPerSecond * factor) })

    /** Share of the requests that any policy could answer: all slots work without a pause on objects that they keep. */
    val largestServedShare: Double
        get() {
            val needed = regions.sumOf { it.requestsPerSecond } * work.toDouble(DurationUnit.SECONDS) * knownShare
            return (regions.sumOf { it.targets } * slots / needed).coerceAtMost(1.0)
        }
}

/** Which part of the placement a run leaves out, to compare with. */
internal enum class Baseline {
    /** Placement as it is. */
    NONE,

    /** Requests stay in their own region. */
    OWN_REGION_ONLY,

    /** Placement is not told which object a request concerns, so it goes where the answer is expected soonest. */
    OBJECTS_IGNORED,
}

/** What the callers of one region got. */
internal data class CallerCounts(var inTime: Int = 0, var late: Int = 0, var refused: Int = 0) {
    val inTimeShare: Double
        get() = inTime.toDouble() / (inTime + late + refused).coerceAtLeast(1)
}

/**
 * Plays a load on the pools of several VMs and on modelled targets, in steps of a millisecond and without a network.
 *
 * Refused callers do not return. Announcements take the periods of the gateway and no time. The run depends on the seed
 * alone.
 */
internal class LoadPlayer(private val load: PlayedLoad, seed: Int, private val baseline: Baseline = Baseline.NONE) {
    private class Target(val entry: RegisteredTarget, val region: String, kept: Int) {
        val running = ArrayList<Arrival>()
        val queue = ArrayDeque<Arrival>()
        val objects = object : LinkedHashMap<String, Unit>(16, 0.75f, true) {
            override fun removeEldestEntry(eldest: Map.Entry<String, Unit>): Boolean = size > kept
        }
    }

    private class Vm(val name: String, val region: String, val pool: ServicePool) {
        val announced = HashMap<String, Map<String, Double>>()
        val waitingKeys = HashMap<WaitingRequest, String>()
    }

    private class Arrival(val vm: Vm, val inFlight: InFlightRequest, val key: String, val at: MonotonicTime) {
        var endsAt: MonotonicTime = at
    }

    private class Answer(val arrival: Arrival, val at: MonotonicTime, val end: TargetOutcome)

    private val random = Random(seed)
    private val regionsOfZones = load.regions.associate { ZoneName(it.name) to RegionName(it.name) }
    private val targets = load.regions.flatMap { region ->
        List(region.targets) { Target(entry("${region.name}-target-$it", region.name), region.name, load.keptObjects) }
    }
    private val targetsByKey = targets.associateBy { it.entry.key }
    private val vms = load.regions.flatMap { region ->
        List(region.entryVms) { newVm("${region.name}-vm-$it", region.name) }
    }
    private val underWay = ArrayList<Arrival>()
    private val answers = ArrayList<Answer>()
    private var now = MonotonicTime(1_000_000_000_000)
    private var step = 0L

    /** Plays [duration] more and returns what callers got whose requests ended in it, by region. */
    fun play(duration: Duration): Map<String, CallerCounts> {
        val counts = load.regions.associate { it.name to CallerCounts() }
        repeat(duration.inWholeMilliseconds.toInt()) {
            now += 1.milliseconds
            step++
            arrive(counts)
            runTargets()
            deliverAnswers(counts)
            if (step % NEAR_PERIOD == 0L) announce(toAll = step % FAR_PERIOD == 0L)
            if (step % TICK == 0L) vms.forEach { pump(it, counts) }
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
        val band = ShiftChangeLimiter(settings.maximumShift, RegionName(region))
        val pool = ServicePool(name, settings, band) { zone -> trip(region, zone.value) }
        pool.updateTargets(targets.map { it.entry }, emptySet(), now)
        return Vm(name, region, pool)
    }

    private fun trip(from: String, to: String): Duration = if (from == to) 2.milliseconds else load.trip

    private fun arrive(counts: Map<String, CallerCounts>) {
        for (region in load.regions) {
            if (random.nextDouble() >= region.requestsPerSecond / MILLISECONDS_PER_SECOND) continue
            val vm = vms.filter { it.region == region.name }.random(random)
            val key = "${region.name}-${random.nextInt(load.objects)}"
            val request = PlacementRequest(
                workloadClass = WorkloadClass(idempotent = true, priority = 1, latencyObjective = load.goal),
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
                val arrivesAt = now + trip(vm.region, placement.target.zone.value) / 2
                underWay.add(Arrival(vm, placement.inFlight, key, arrivesAt))
            }
        }
    }

    private fun runTargets() {
        for (arrival in underWay.filter { it.at <= now }) {
            val target = targetOf(arrival)
            if (target.queue.size < load.slots * QUEUE_PER_SLOT) target.queue.add(arrival) else shed(arrival)
        }
        underWay.removeAll { it.at <= now }
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
        val isKnown = target.objects.put(arrival.key, Unit) != null
        val spread = random.nextDouble(LOWEST_SPREAD, HIGHEST_SPREAD)
        arrival.endsAt = now + load.work * spread * (if (isKnown) load.knownShare else 1.0)
        target.running.add(arrival)
    }

    private fun shed(arrival: Arrival) = answer(arrival, TargetOutcome.Shed(LoadReport(load.slots, 1, load.slots)))

    private fun answer(arrival: Arrival, end: TargetOutcome) {
        answers.add(Answer(arrival, now + trip(arrival.vm.region, targetOf(arrival).region) / 2, end))
    }

    private fun targetOf(arrival: Arrival): Target = targetsByKey.getValue(arrival.inFlight.load.target.key)

    private fun deliverAnswers(counts: Map<String, CallerCounts>) {
        val arrived = answers.filter { it.at <= now }
        answers.removeAll(arrived)
        for (answer in arrived) {
            val vm = answer.arrival.vm
            val inFlight = answer.arrival.inFlight
            vm.pool.finish(inFlight, answer.end, now)
            val count = counts.getValue(vm.region)
            when {
                answer.end is TargetOutcome.Shed -> count.refused++
                now - inFlight.request.startedAt <= load.goal -> count.inTime++
                else -> count.late++
            }
            pump(vm, counts)
        }
    }

    private fun pump(vm: Vm, counts: Map<String, CallerCounts>) {
        for ((ticket, placement) in vm.pool.dispatchWaiting(now)) {
            take(vm, vm.waitingKeys.remove(ticket).orEmpty(), placement, counts)
        }
    }

    private fun announce(toAll: Boolean) {
        for (vm in vms) {
            val occupied = vm.pool.occupiedSlots()
            val listeners = vms.filter { it !== vm && (toAll || it.region == vm.region) }
            for (listener in listeners) listener.announced[vm.name] = occupied
        }
        for (vm in vms) vm.pool.updateAnnouncedSlots { name -> vm.announced.values.sumOf { it[name] ?: 0.0 } }
    }

    private companion object {
        /** Periods of the gateway, in milliseconds. */
        const val NEAR_PERIOD = 80L
        const val FAR_PERIOD = 400L
        const val TICK = 20L
        const val MILLISECONDS_PER_SECOND = 1000.0

        /** Requests that a target lets wait, for each slot. */
        const val QUEUE_PER_SLOT = 3
        const val LOWEST_SPREAD = 0.85
        const val HIGHEST_SPREAD = 1.15
    }
}
