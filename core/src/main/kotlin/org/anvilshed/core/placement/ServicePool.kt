package org.anvilshed.core.placement

import org.anvilshed.core.MonotonicTime
import org.anvilshed.core.RegionName
import org.anvilshed.core.ZoneName
import org.anvilshed.core.fleet.FleetTarget
import org.anvilshed.core.fleet.TargetKey
import org.anvilshed.core.ingress.ServicePolicy
import org.anvilshed.core.membership.rendezvousScore
import java.util.TreeSet
import kotlin.math.ceil
import kotlin.time.Duration
import kotlin.time.Duration.Companion.ZERO
import kotlin.time.Duration.Companion.milliseconds

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
    private var evacuated: Set<ZoneName> = emptySet()
    private var members: List<String> = listOf(self)
    private var policy: ServicePolicy? = null
    private var nextSequence = 0L

    /** Work of the requests that were answered lately, whatever their kind. */
    private var averageWork = FIRST_AVERAGE_WORK

    /** Number of waiting requests. */
    public val queueLength: Int
        get() = waiting.size

    /** Requests in flight from this VM for each target that has some. */
    public fun ownFlights(): Map<String, Int> =
        loads.values.filter { it.inFlight > 0 }.associate { it.target.key.name to it.inFlight }

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

    /** Takes over the requests in flight that other VMs announced; [flightsOf] gives their number by target name. */
    public fun updateAnnounced(flightsOf: (String) -> Int) {
        for (load in loads.values) load.announcedOthers = flightsOf(load.target.key.name)
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
        // A request that waits has an older claim to a free slot than a new one of its rank.
        val mustQueue = waiting.any { it.request.requestClass.priority <= request.requestClass.priority }
        if (!mustQueue) sendOrNull(request, usable, now)?.let { return it }
        return queueOrRefuse(request, usable, now)
    }

    /** Removes a request whose caller left; returns whether it was still waiting. */
    public fun cancel(ticket: WaitingRequest): Boolean = waiting.remove(ticket)

    /** Decides at [now] about waiting requests whose turn or time has come. */
    public fun pump(now: MonotonicTime): List<Pair<WaitingRequest, Placement>> {
        if (waiting.isEmpty()) return emptyList()
        val decided = ArrayList<Pair<WaitingRequest, Placement>>()
        val iterator = waiting.iterator()
        var blockedSends = 0
        while (iterator.hasNext()) {
            val ticket = iterator.next()
            val placement = when {
                blockedSends < BLOCKED_SENDS_LIMIT -> {
                    val usable = usableTargets(ticket.request, now)
                    sendOrNull(ticket.request, usable, now).also { if (it == null) blockedSends++ }
                }

                else -> null
            } ?: expiryOrNull(ticket, now) ?: continue
            iterator.remove()
            decided.add(ticket to placement)
        }
        return decided
    }

    /** Records at [now] how [flight] ended. */
    public fun finish(flight: Flight, end: FlightEnd, now: MonotonicTime) {
        val trip = tripTime(flight.load.target.zone)
        val work = (now - flight.sentAt - trip).coerceAtLeast(1.milliseconds)
        val isSample = end is FlightEnd.Answered && !end.failed && flight.foundFreeSlot
        flight.load.recordEnd(flight, end, work.takeIf { isSample }, now)
        if (isSample) averageWork += (work - averageWork) * AVERAGE_WEIGHT
        if (isSample && !flight.load.isCold(now)) {
            val factor = flight.load.speedFactor
            estimates.observe(flight.request.requestClass, flight.knownObject, work / factor.coerceAtLeast(1.0))
        }
    }

    /** Returns the time after which the answer of [flight] is so late that the target may be dead. */
    public fun patience(flight: Flight): Duration =
        (flight.expected * PATIENCE_FACTOR + tripTime(flight.load.target.zone)).coerceAtLeast(SHORTEST_PATIENCE)

    private fun usableTargets(request: PlacementRequest, now: MonotonicTime): List<TargetLoad> {
        val eligible = loads.values.filter { load ->
            val target = load.target
            !target.draining && target.zone !in evacuated && target.key !in request.excluded &&
                (request.homeRegions.isEmpty() || settings.regions[target.zone] in request.homeRegions)
        }
        val healthy = eligible.filterNot { it.isSuspended(now) }
        // Suspensions that would leave too few targets say more about this VM's own links than about the targets.
        return if (healthy.size * 2 >= eligible.size) healthy else eligible
    }

    private fun sendOrNull(request: PlacementRequest, usable: List<TargetLoad>, now: MonotonicTime): Placement.Send? {
        val demanded = shift.regions.firstOrNull { it != settings.region && shift.demands(it, now) }
        val best = (demanded?.let { region -> bestFree(request, usable, now) { it == region } })
            ?: bestFree(request, usable, now) { true }
            ?: return null
        return send(request, best, now)
    }

    private fun bestFree(
        request: PlacementRequest,
        usable: List<TargetLoad>,
        now: MonotonicTime,
        inRegion: (RegionName?) -> Boolean,
    ): TargetLoad? {
        var best: TargetLoad? = null
        var bestCost = Duration.INFINITE
        val preferred = preferredOrNull(request, usable)
        for (load in usable) {
            if (load.load(now) >= loadLimit(load) || !inRegion(regionOf(load))) continue
            val cost = cost(request, load, load === preferred, now)
            if (cost < bestCost && mayUse(load, now)) {
                best = load
                bestCost = cost
            }
        }
        return best
    }

    private fun send(request: PlacementRequest, load: TargetLoad, now: MonotonicTime): Placement.Send {
        val cold = load.isCold(now)
        if (cold) load.cold.tryTake(coldRate(), coldSenders(), now)
        regionOf(load)?.let { shift.recordSent(it, now) }
        val expected = load.expectedWork(request, estimates) * (if (cold) COLD_FACTOR else 1.0)
        val found = load.load(now)
        val flight = Flight(load, request, now, expected, found < load.target.slots, load.knows(request), found)
        load.recordSent(flight, now)
        return Placement.Send(load.target, flight, cold)
    }

    private fun mayUse(load: TargetLoad, now: MonotonicTime): Boolean {
        val region = regionOf(load)
        if (region != null && region != settings.region && !shift.allows(region, now)) return false
        if (!load.isCold(now)) return true
        val isSender = ColdAllowance.isSender(load.target.key.name, self, members, coldSenders())
        return isSender && load.cold.isAvailable(now)
    }

    /** Expected time until the answer, with a surcharge for targets that fail or are nearly full. */
    private fun cost(request: PlacementRequest, load: TargetLoad, preferred: Boolean, now: MonotonicTime): Duration {
        val work = load.expectedWork(request, estimates)
        val factor = if (load.isCold(now)) COLD_FACTOR else load.slowness(now)
        val slots = load.target.slots.coerceAtLeast(1)
        val occupied = load.load(now).toDouble() / slots
        val surcharge = work * (load.failureShare * FAILURE_COST + occupied.coerceAtMost(1.0) * OCCUPANCY_COST)
        val wait = averageWork * ((load.load(now) - slots + 1).coerceAtLeast(0).toDouble() / slots)
        val cost = tripTime(load.target.zone) + (work + wait) * factor + surcharge
        val explore = load.needsExploration(now) && regionOf(load) == settings.region && load.failureShare < SOUND_SHARE
        return when {
            explore -> cost * EXPLORATION_DISCOUNT
            preferred -> cost - work * PREFERENCE_DISCOUNT
            else -> cost
        }
    }

    /**
     * Target of the own region at which all VMs of the region meet with an object that they did not send before, or
     * `null` if the object is known somewhere or the request concerns none.
     */
    private fun preferredOrNull(request: PlacementRequest, usable: List<TargetLoad>): TargetLoad? {
        val key = request.objectKey ?: return null
        val near = usable.filter { regionOf(it) == settings.region }
        if (near.any { it.knows(request) }) return null
        return near.maxByOrNull { rendezvousScore(key, it.target.key.name) }
    }

    /**
     * Requests that a target may hold: a request that waits at a target for the slot of a short one may be answered
     * sooner than on a free slot elsewhere, and no slot idles for a trip. The rest waits here, where urgent kinds go
     * first.
     */
    private fun loadLimit(load: TargetLoad): Int = load.target.slots + ceil(load.target.slots * OVERCOMMIT_SHARE).toInt()

    private fun bestWork(request: PlacementRequest, usable: List<TargetLoad>): Duration =
        usable.minOf { tripTime(it.target.zone) + it.expectedWork(request, estimates) }

    private fun queueOrRefuse(request: PlacementRequest, usable: List<TargetLoad>, now: MonotonicTime): Placement {
        val work = bestWork(request, usable)
        val left = request.deadline - now
        if (left < work) return Placement.Refuse(RefusalCause.DEADLINE, work)
        val wait = expectedWait(request, usable, now)
        val affordable = affordableWait(request, work, now)
        if (wait > affordable) return Placement.Refuse(RefusalCause.OVERLOADED, wait - affordable + MINIMUM_RETRY)
        val ticket = WaitingRequest(request, now + affordable, nextSequence++)
        waiting.add(ticket)
        return Placement.Wait(ticket)
    }

    /** Longest wait for a slot after which the request is still answered in time, or at least before its deadline. */
    private fun affordableWait(request: PlacementRequest, work: Duration, now: MonotonicTime): Duration {
        val untilGoal = request.goal - (now - request.arrivedAt) - work
        val untilDeadline = request.deadline - now - work
        return maxOf(untilGoal, request.goal * LATE_WAIT_SHARE).coerceAtMost(untilDeadline).coerceAtLeast(ZERO)
    }

    private fun expectedWait(request: PlacementRequest, usable: List<TargetLoad>, now: MonotonicTime): Duration {
        val ahead = waiting.count { it.request.requestClass.priority <= request.requestClass.priority }
        val near = usable.filter { regionOf(it) == settings.region }.ifEmpty { usable }
        val slots = near.sumOf { it.target.slots }.coerceAtLeast(1)
        val own = near.sumOf { it.inFlight }.coerceAtLeast(1)
        val all = near.sumOf { it.load(now) }.coerceAtLeast(own)
        return averageWork * (ahead + 1) * all / (slots.toDouble() * own)
    }

    private fun expiryOrNull(ticket: WaitingRequest, now: MonotonicTime): Placement.Refuse? {
        if (now < ticket.expiresAt) return null
        val usable = usableTargets(ticket.request, now)
        if (usable.isEmpty()) return Placement.Refuse(RefusalCause.NO_TARGET, NO_TARGET_RETRY)
        return Placement.Refuse(RefusalCause.OVERLOADED, expectedWait(ticket.request, usable, now) + MINIMUM_RETRY)
    }

    private fun regionOf(load: TargetLoad): RegionName? = settings.regions[load.target.zone]

    private fun coldRate(): Double = (policy?.coldRequestsPerSecond ?: 1.0).coerceAtLeast(SMALLEST_COLD_RATE)

    private fun coldSenders(): Int =
        ColdAllowance.senderCount(coldRate(), settings.coldOvershoot, settings.coldSlack, members.size)

    private companion object {
        /** Targets that just started work about this many times as long. */
        const val COLD_FACTOR = 2.0

        /** A failed request costs about two more: one that is sent again and one that it delays. */
        const val FAILURE_COST = 2.0

        /** Other VMs may send to the same free slot at the same moment, the sooner the fewer are free. */
        const val OCCUPANCY_COST = 0.1
        const val EXPLORATION_DISCOUNT = 0.5
        const val SOUND_SHARE = 0.3

        /** Share of the goal that a request may wait if its work alone takes longer than the goal. */
        const val LATE_WAIT_SHARE = 0.25

        /** Share of an unknown object's work by which the target where all VMs meet with it is preferred. */
        const val PREFERENCE_DISCOUNT = 0.3

        /** Requests that may wait at a target, as a share of its slots. */
        const val OVERCOMMIT_SHARE = 0.4
        const val AVERAGE_WEIGHT = 0.02
        val FIRST_AVERAGE_WORK = 200.milliseconds

        /** Waiting requests that find no target before the rest is only checked for expiry. */
        const val BLOCKED_SENDS_LIMIT = 3

        /** An answer this many times over its expected time is probably not coming. */
        const val PATIENCE_FACTOR = 4
        val SHORTEST_PATIENCE = 250.milliseconds
        const val SMALLEST_COLD_RATE = 0.1
        val MINIMUM_RETRY = 50.milliseconds

        /** Targets appear through store events, which take about this long after a loss. */
        val NO_TARGET_RETRY = 300.milliseconds
    }
}
