package org.anvilshed.core.placement

import org.anvilshed.core.MonotonicTime
import org.anvilshed.core.RegionName
import org.anvilshed.core.ZoneName
import org.anvilshed.core.fleet.FleetTarget
import org.anvilshed.core.fleet.TargetKey
import org.anvilshed.core.ingress.ServicePolicy
import java.util.TreeSet
import kotlin.math.ceil
import kotlin.time.Duration
import kotlin.time.Duration.Companion.ZERO
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Queue and placement of the requests of one service at one VM.
 *
 * A request goes to the target from which the answer is expected soonest, if a target is believed to have a free slot.
 * Otherwise it waits, more urgent kinds first, for as long as it may still be answered within its goal; a request that
 * could only wait longer is refused at once, so that slots serve requests that are still in time. Not thread-safe.
 *
 * @param self name of this VM.
 * @param shift band for the requests that leave the region; shared by all services of the VM.
 * @param tripTime expected time to a target in a zone and back.
 */
public class ServicePool(
    private val self: String,
    private val settings: PlacementSettings,
    private val shift: ShiftBand,
    private val tripTime: (ZoneName) -> Duration,
) {
    private val loads = LinkedHashMap<TargetKey, TargetLoad>()
    private val waiting = TreeSet(WaitingRequest.SERVING_ORDER)
    private val estimates = WorkEstimates()
    private val remoteObjects = RemoteObjects()
    private var evacuated: Set<ZoneName> = emptySet()
    private var members: List<String> = listOf(self)
    private var policy: ServicePolicy? = null
    private var nextSequence = 0L

    /** Work of the requests that were answered lately, whatever their kind. */
    private var averageWork = FIRST_AVERAGE_WORK
    private var mostSlots = 0
    private var mostSlotsAt = MonotonicTime(0)

    /** Number of waiting requests. */
    public val queueLength: Int
        get() = waiting.size

    /** Slots that the requests in flight of this VM take, for each target that has some. */
    public fun occupiedSlots(): Map<String, Double> =
        loads.values.filter { it.inFlight > 0 }.associate { it.target.key.name to it.occupiedSlots }

    /** Takes over the targets of the service; what is known of targets that stay is kept. */
    public fun updateTargets(targets: Collection<FleetTarget>, evacuatedZones: Set<ZoneName>, now: MonotonicTime) {
        val keys = targets.mapTo(HashSet()) { it.key }
        loads.keys.retainAll(keys)
        for (target in targets) loads.getOrPut(target.key) { TargetLoad(target, now) }.target = target
        evacuated = evacuatedZones
    }

    /** Takes over the limits of the service and the [members] that share them. */
    public fun updatePolicy(policy: ServicePolicy?, members: List<String>) {
        this.policy = policy
        this.members = members
    }

    /** Takes over what other VMs announced; [slotsOf] gives the slots that their requests take, by target name. */
    public fun updateAnnounced(slotsOf: (String) -> Double) {
        for (load in loads.values) load.announcedOthers = slotsOf(load.target.key.name)
    }

    /** Returns whether [target] may still get a request right now; asked again immediately before each send. */
    public fun mayReceive(target: FleetTarget): Boolean {
        val current = loads[target.key]?.target ?: return false
        return !current.draining && current.zone !in evacuated
    }

    /** Decides about [request] at [now]. */
    public fun offer(request: PlacementRequest, now: MonotonicTime): Placement {
        val usable = usableTargets(request, now)
        if (usable.isEmpty()) return Placement.Refuse(RefusalCause.NO_TARGET, NO_TARGET_RETRY)
        remoteObjects.adjust(occupancy(now), now)
        val choice = choose(request, usable, now)
        return choice.free?.takeIf { it === choice.best }?.let { send(request, it, now) }
            ?: queueOrRefuse(request, choice, now)
    }

    /** Removes a request whose caller left; returns whether it was still waiting. */
    public fun cancel(ticket: WaitingRequest): Boolean = waiting.remove(ticket)

    /** Decides at [now] about waiting requests whose turn or time has come. */
    public fun pump(now: MonotonicTime): List<Pair<WaitingRequest, Placement>> {
        if (waiting.isEmpty()) return emptyList()
        val decided = ArrayList<Pair<WaitingRequest, Placement>>()
        val iterator = waiting.iterator()
        var examined = 0
        while (iterator.hasNext()) {
            val ticket = iterator.next()
            if (examined++ >= EXAMINED_LIMIT && now < ticket.expiresAt) continue
            val placement = decide(ticket, now) ?: continue
            iterator.remove()
            decided.add(ticket to placement)
        }
        return decided
    }

    /** Sends a waiting request to the target that it waits for, or to any free one when its time has come. */
    private fun decide(ticket: WaitingRequest, now: MonotonicTime): Placement? {
        val usable = usableTargets(ticket.request, now)
        if (usable.isEmpty()) return Placement.Refuse(RefusalCause.NO_TARGET, NO_TARGET_RETRY)
        val choice = choose(ticket.request, usable, now)
        val isDue = now >= ticket.expiresAt
        val free = choice.free?.takeIf { isDue || it === choice.best }
        if (free != null && ticket.request.deadline - now > choice.freeLatency) return send(ticket.request, free, now)
        if (!isDue) return null
        return Placement.Refuse(RefusalCause.OVERLOADED, queueWait(now) + MINIMUM_RETRY)
    }

    /** Records at [now] how [flight] ended. */
    public fun finish(flight: Flight, end: FlightEnd, now: MonotonicTime) {
        val trip = tripTime(flight.load.target.zone)
        val work = (now - flight.sentAt - trip).coerceAtLeast(1.milliseconds)
        val isSample = end is FlightEnd.Answered && !end.failed && flight.foundFreeSlot && !flight.load.isCold(now)
        flight.load.recordEnd(flight, end, if (isSample) learn(flight, work) else null, now)
    }

    /** Learns from the [work] that a request took; returns it relative to what it should have been. */
    private fun learn(flight: Flight, work: Duration): Double {
        val requestClass = flight.request.requestClass
        val age = flight.objectAge
        val known = age != null && (age < SURELY_KNOWN_AGE || estimates.looksKnown(requestClass, work))
        if (age != null) flight.load.learnObject(age, known)
        val should = estimates.expected(requestClass, if (known) 1.0 else 0.0)
        // A slow target's work says nothing about the others.
        if (flight.load.speedFactor < SLOW_FACTOR) estimates.observe(requestClass, known, work)
        averageWork += (work - averageWork) * AVERAGE_WEIGHT
        return work / should.coerceAtLeast(1.milliseconds)
    }

    /** Returns the time after which the answer of [flight] is so late that the target may be dead. */
    public fun patience(flight: Flight): Duration =
        (estimates.expected(flight.request.requestClass, 0.0) * PATIENCE_FACTOR + tripTime(flight.load.target.zone))
            .coerceAtLeast(SHORTEST_PATIENCE)

    private fun usableTargets(request: PlacementRequest, now: MonotonicTime): List<TargetLoad> {
        val eligible = loads.values.filter { load ->
            val target = load.target
            !target.draining &&
                target.zone !in evacuated &&
                target.key !in request.excluded &&
                (request.homeRegions.isEmpty() || settings.regions[target.zone] in request.homeRegions)
        }
        val healthy = eligible.filterNot { it.isSuspended(now) }
        // Suspensions that would leave too few targets say more about this VM's own links than about the targets.
        return if (healthy.size * 2 >= eligible.size) healthy else eligible
    }

    /**
     * Targets for one request: [best] is the one from which its answer would come soonest, although it may be full;
     * [free] is the best of those that may get a request now.
     */
    private class Choice(
        val best: TargetLoad,
        val bestLatency: Duration,
        val free: TargetLoad?,
        val freeLatency: Duration,
    )

    private fun choose(request: PlacementRequest, usable: List<TargetLoad>, now: MonotonicTime): Choice {
        val demanded = shift.regions.firstOrNull { it != settings.region && shift.demands(it, now) }
        val ranks = ranks(request, usable)
        var best = usable.first()
        var bestCost = Duration.INFINITE
        var bestLatency = Duration.INFINITE
        var free: TargetLoad? = null
        var freeCost = Duration.INFINITE
        var freeLatency = Duration.INFINITE
        for (load in usable) {
            val region = regionOf(load)
            val isRemote = region != settings.region
            val probability = knownProbability(request, load, ranks)
            val latency = latency(request, load, probability, now)
            // Requests that leave the region take slots from those that don't have to, so they must gain by it.
            if (isRemote && region != demanded && !isWorthLeaving(request, load, latency, now)) continue
            var cost = latency + surcharge(request, load, probability, now)
            if (region != null && region == demanded) cost *= DEMANDED_DISCOUNT
            if (cost < bestCost) {
                best = load
                bestCost = cost
                bestLatency = latency
            }
            if (cost < freeCost && hasRoom(load, isRemote, now) && mayUse(load, now)) {
                free = load
                freeCost = cost
                freeLatency = latency
            }
        }
        // A target that this VM may not use now, although it has room, is not worth waiting for.
        if (free != null && hasRoom(best, regionOf(best) != settings.region, now)) best = free
        return Choice(best, bestLatency, free, freeLatency)
    }

    private fun isWorthLeaving(
        request: PlacementRequest,
        load: TargetLoad,
        latency: Duration,
        now: MonotonicTime,
    ): Boolean {
        val inTime = now - request.arrivedAt + latency + CALLER_TRIP <= request.goal
        val occupied = load.load(now) / load.target.slots
        return occupied < (if (inTime) REMOTE_OCCUPANCY else LATE_REMOTE_OCCUPANCY)
    }

    private fun send(request: PlacementRequest, load: TargetLoad, now: MonotonicTime): Placement.Send {
        val cold = load.isCold(now)
        if (cold) load.cold.tryTake(coldRate(), coldSenders(), now)
        regionOf(load)?.let { shift.recordSent(it, now) }
        val found = load.load(now)
        val known = load.knows(request)
        val expected =
            estimates.expected(request.requestClass, if (known) 1.0 else 0.0) * (if (cold) COLD_FACTOR else 1.0)
        val slotShare = expected / (expected + tripTime(load.target.zone))
        val flight = Flight(load, request, now, expected, found, slotShare, known, load.objectAgeOrNull(request))
        load.recordSent(flight, now)
        return Placement.Send(load.target, flight, cold)
    }

    private fun mayUse(load: TargetLoad, now: MonotonicTime): Boolean {
        val region = regionOf(load)
        if (region != null && region != settings.region && !shift.allows(region, lostSlots(now), now)) return false
        if (!load.isCold(now)) return true
        val isSender = ColdAllowance.isSender(load.target.key.name, self, members, coldSenders())
        return isSender && load.cold.isAvailable(now)
    }

    /** Expected time until the answer of [load]. */
    private fun latency(
        request: PlacementRequest,
        load: TargetLoad,
        knownProbability: Double,
        now: MonotonicTime,
    ): Duration {
        val work = estimates.expected(request.requestClass, knownProbability)
        val factor = if (load.isCold(now)) COLD_FACTOR else load.slowness(now)
        val slots = load.target.slots
        val ahead = (load.load(now) - slots + 1).coerceAtLeast(0.0)
        return tripTime(load.target.zone) + (work + averageWork * (ahead / slots)) * factor
    }

    /** What a choice costs beside the time of the request itself. */
    private fun surcharge(
        request: PlacementRequest,
        load: TargetLoad,
        knownProbability: Double,
        now: MonotonicTime,
    ): Duration {
        val work = estimates.expected(request.requestClass, knownProbability)
        val occupied = (load.load(now) / load.target.slots).coerceAtMost(1.0)
        val explore = load.needsExploration(now) && regionOf(load) == settings.region && load.failureShare < SOUND_SHARE
        val share = SLOT_COST + load.failureShare * FAILURE_COST + occupied * OCCUPANCY_COST
        return work * (if (explore) share - EXPLORATION_GAIN else share)
    }

    /**
     * Order of the targets for the object of [request], the same for all VMs: positions 0 and 1 of the own region, and
     * position 0 of the other regions for objects that are kept there.
     */
    private class Ranks(val first: TargetLoad?, val second: TargetLoad?, val remote: TargetLoad?)

    private fun ranks(request: PlacementRequest, usable: List<TargetLoad>): Ranks {
        if (request.objectKey == null) return Ranks(null, null, null)
        val (near, far) = usable.partition { regionOf(it) == settings.region }
        val ordered = near.sortedByDescending { it.rendezvousScore(request.objectHash) }
        val remote = if (remoteObjects.contains(request.objectHash)) {
            far.maxByOrNull { it.rendezvousScore(request.objectHash) }
        } else {
            null
        }
        return Ranks(ordered.getOrNull(0), ordered.getOrNull(1), remote)
    }

    private fun knownProbability(request: PlacementRequest, load: TargetLoad, ranks: Ranks): Double = when {
        request.objectKey == null -> 0.0
        load.knows(request) -> KNOWN_PROBABILITY
        load === ranks.first || load === ranks.remote -> FIRST_RANK_PROBABILITY
        load === ranks.second -> SECOND_RANK_PROBABILITY
        else -> 0.0
    }

    /**
     * Requests that a target may hold: a request that waits at a target for the slot of a short one may be answered
     * sooner than on a free slot elsewhere, and no slot idles for a trip. The rest waits here, where urgent kinds go
     * first.
     */
    private fun hasRoom(load: TargetLoad, isRemote: Boolean, now: MonotonicTime): Boolean {
        val slots = load.target.slots
        val limit = if (isRemote) slots else slots + ceil(slots * OVERCOMMIT_SHARE).toInt()
        // Requests under way count as a part of a slot, so loads are compared to the middle between two numbers.
        return load.load(now) < limit - HALF_SLOT
    }

    private fun queueOrRefuse(request: PlacementRequest, choice: Choice, now: MonotonicTime): Placement {
        val wait = queueWait(now)
        val latency = (choice.bestLatency + wait).coerceAtMost(LONGEST_ESTIMATE)
        val left = request.deadline - now
        if (left < latency) return Placement.Refuse(RefusalCause.DEADLINE, wait + MINIMUM_RETRY)
        val untilGoal = request.goal - (now - request.arrivedAt) - CALLER_TRIP - latency
        val affordable = if (untilGoal > ZERO) untilGoal + wait else request.goal * LATE_WAIT_SHARE
        if (wait > affordable) return Placement.Refuse(RefusalCause.OVERLOADED, wait - affordable + MINIMUM_RETRY)
        val ticket = WaitingRequest(request, now + affordable.coerceAtMost(left - latency), nextSequence++)
        waiting.add(ticket)
        return Placement.Wait(ticket)
    }

    /** Time in which the targets of the own region serve what this VM holds in its queue. */
    private fun queueWait(now: MonotonicTime): Duration {
        if (waiting.isEmpty()) return ZERO
        val near = nearTargets()
        val slots = near.sumOf { it.target.slots }.coerceAtLeast(1)
        val own = near.sumOf { it.occupiedSlots }.coerceAtLeast(1.0)
        val all = near.sumOf { it.load(now) }.coerceAtLeast(own)
        return averageWork * (waiting.size * all / (slots * own))
    }

    private fun nearTargets(): List<TargetLoad> =
        loads.values.filter { regionOf(it) == settings.region && !it.target.draining && it.target.zone !in evacuated }

    private fun occupancy(now: MonotonicTime): Double {
        val near = nearTargets()
        val slots = near.sumOf { it.target.slots }
        return if (slots == 0) 1.0 else near.sumOf { it.load(now) } / slots
    }

    private fun regionOf(load: TargetLoad): RegionName? = settings.regions[load.target.zone]

    /** Whether the own region lost a good part of its slots lately, so that its requests have to move at once. */
    private fun lostSlots(now: MonotonicTime): Boolean =
        nearTargets().sumOf { it.target.slots } < slotsRemembered(now) * LOST_SLOTS_SHARE

    private fun slotsRemembered(now: MonotonicTime): Int {
        val present = nearTargets().sumOf { it.target.slots }
        if (present >= mostSlots || now - mostSlotsAt >= SLOTS_MEMORY) {
            mostSlots = present
            mostSlotsAt = now
        }
        return mostSlots
    }

    private fun coldRate(): Double = (policy?.coldRequestsPerSecond ?: 1.0).coerceAtLeast(SMALLEST_COLD_RATE)

    private fun coldSenders(): Int =
        ColdAllowance.senderCount(coldRate(), settings.coldOvershoot, settings.coldSlack, members.size)

    private companion object {
        /** Targets that just started work about this many times as long. */
        const val COLD_FACTOR = 2.0

        /** Work that a request takes from others: a slot that it holds longer serves fewer of them. */
        const val SLOT_COST = 0.5

        /** A failed request costs about two more: one that is sent again and one that it delays. */
        const val FAILURE_COST = 2.0

        /** Other VMs may send to the same free slot at the same moment, the sooner the fewer are free. */
        const val OCCUPANCY_COST = 0.1

        /** Makes a new or doubtful target the choice unless it is expected to be several times slower. */
        const val EXPLORATION_GAIN = 3.0
        const val SOUND_SHARE = 0.3
        const val DEMANDED_DISCOUNT = 0.5

        /** Probabilities that a target knows an object: sent by this VM, or by others of the same preference. */
        const val KNOWN_PROBABILITY = 0.9
        const val FIRST_RANK_PROBABILITY = 0.7
        const val SECOND_RANK_PROBABILITY = 0.3

        /** An object that was sent this few requests before is known whatever a target keeps. */
        const val SURELY_KNOWN_AGE = 2L
        const val SLOW_FACTOR = 1.7

        /** Occupancy up to which targets of another region take requests that are still in time there, or late. */
        const val REMOTE_OCCUPANCY = 0.85
        const val LATE_REMOTE_OCCUPANCY = 0.5

        /** Time between a caller and this VM and back, which counts towards the goal; VMs can't measure it. */
        val CALLER_TRIP = 10.milliseconds

        /** A region that keeps less than this share of the slots that it had within this time moves its requests. */
        const val LOST_SLOTS_SHARE = 0.8
        val SLOTS_MEMORY = 10.seconds

        /** Share of the goal that a request may wait if it can't be answered in time. */
        const val LATE_WAIT_SHARE = 0.25

        /** Requests that may wait at a target, as a share of its slots. */
        const val OVERCOMMIT_SHARE = 0.2
        const val HALF_SLOT = 0.5
        const val AVERAGE_WEIGHT = 0.02
        val FIRST_AVERAGE_WORK = 150.milliseconds

        /** Waiting requests for which a target is sought each time; the queue's end is only checked for expiry. */
        const val EXAMINED_LIMIT = 24

        /** An answer this many times over its expected time is probably not coming. */
        const val PATIENCE_FACTOR = 4
        val SHORTEST_PATIENCE = 400.milliseconds
        const val SMALLEST_COLD_RATE = 0.1
        val MINIMUM_RETRY = 50.milliseconds
        val LONGEST_ESTIMATE = 60.seconds

        /** Targets appear through store events, which take about this long after a loss. */
        val NO_TARGET_RETRY = 300.milliseconds
    }
}
