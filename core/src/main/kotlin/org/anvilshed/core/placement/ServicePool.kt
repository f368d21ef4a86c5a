package org.anvilshed.core.placement

import org.anvilshed.core.MonotonicTime
import org.anvilshed.core.ZoneName
import org.anvilshed.core.fleet.RegisteredTarget
import org.anvilshed.core.fleet.TargetKey
import org.anvilshed.core.ingress.ServicePolicy
import java.util.TreeSet
import kotlin.time.Duration
import kotlin.time.Duration.Companion.ZERO
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Queue and placement of the requests of one service at one VM.
 *
 * A request goes to the target from which the answer is expected soonest, if that target is believed to have room.
 * Otherwise it waits, more urgent kinds first, for as long as it may still be answered within its goal; a request that
 * could only wait longer is refused at once, so that slots serve requests that are still in time. Not thread-safe.
 *
 * @param self name of this VM.
 * @param shift band for the requests that leave the region; shared by all services of the VM.
 * @param tripTime expected time to a target in a zone and back.
 */
public class ServicePool(
    self: String,
    private val settings: PlacementSettings,
    private val shift: ShiftChangeLimiter,
    private val tripTime: (ZoneName) -> Duration,
) {
    private val loads = LinkedHashMap<TargetKey, TargetLoad>()
    private val waiting = TreeSet(WaitingRequest.SERVING_ORDER)
    private val estimates = WorkEstimates()
    private val capacity = RegionCapacity(settings) { loads.values }
    private val coldLimit = ColdLimit(self, settings)
    private val preference = ObjectPreference(capacity)
    private val selector = TargetSelector(settings, shift, tripTime, estimates, capacity, preference, coldLimit)
    private var nextSequence = 0L

    /** Number of waiting requests. */
    public val queueLength: Int
        get() = waiting.size

    /** Slots that the requests in flight of this VM take, for each target that has some. */
    public fun occupiedSlots(): Map<String, Double> =
        loads.values.filter { it.inFlightCount > 0 }.associate { it.target.key.name to it.occupiedSlots }

    /** Takes over the targets of the service; what is known of targets that stay is kept. */
    public fun updateTargets(targets: Collection<RegisteredTarget>, evacuatedZones: Set<ZoneName>, now: MonotonicTime) {
        val keys = targets.mapTo(HashSet()) { it.key }
        loads.keys.retainAll(keys)
        for (target in targets) loads.getOrPut(target.key) { TargetLoad(target, now) }.target = target
        capacity.evacuated = evacuatedZones
    }

    /** Takes over the limits of the service and the [members] that share them. */
    public fun updatePolicy(policy: ServicePolicy?, members: List<String>): Unit = coldLimit.update(policy, members)

    /** Takes over what other VMs announced; [slotsOf] gives the slots that their requests take, by target name. */
    public fun updateAnnouncedSlots(slotsOf: (String) -> Double) {
        for (load in loads.values) load.announcedOthers = slotsOf(load.target.key.name)
    }

    /** Returns whether [target] may still get a request right now; asked again immediately before each send. */
    public fun mayReceive(target: RegisteredTarget): Boolean {
        val current = loads[target.key]?.target ?: return false
        return !current.draining && current.zone !in capacity.evacuated
    }

    /** Decides about [request] at [now]. */
    public fun offer(request: PlacementRequest, now: MonotonicTime): Placement {
        val usable = usableTargets(request, now)
        if (usable.isEmpty()) return Placement.Refuse(PlacementRefusalReason.NO_TARGET, NO_TARGET_RETRY)
        preference.adjust(now)
        val choice = selector.choose(request, usable, now)
        val wait = queueWait(request, now)
        val free = choice.free?.takeIf { isBetterThanWaiting(request, it, choice, wait, now) }
        return if (free != null) send(request, free, choice, now) else queueOrRefuse(request, choice, wait, now)
    }

    /** Whether [request] should go to [free] now, although another target may answer sooner once it has room. */
    private fun isBetterThanWaiting(
        request: PlacementRequest,
        free: TargetLoad,
        choice: TargetChoice,
        wait: Duration,
        now: MonotonicTime,
    ): Boolean {
        if (free === choice.best) return true
        val isInTime = untilGoal(request, choice.freeLatency, now) >= ZERO
        return isInTime && choice.freeLatency < choice.bestLatency + wait
    }

    /** Removes a request whose caller left; returns whether it was still waiting. */
    public fun cancel(ticket: WaitingRequest): Boolean = waiting.remove(ticket)

    /** Decides at [now] about waiting requests whose turn or time has come. */
    public fun dispatchWaiting(now: MonotonicTime): List<Pair<WaitingRequest, Placement>> {
        if (waiting.isEmpty()) return emptyList()
        val decided = ArrayList<Pair<WaitingRequest, Placement>>()
        for ((index, ticket) in waiting.toList().withIndex()) {
            val isExamined = index < EXAMINED_LIMIT || now >= ticket.expiresAt
            val placement = if (isExamined) decideOrNull(ticket, now) else null
            if (placement != null) {
                waiting.remove(ticket)
                decided.add(ticket to placement)
            }
        }
        return decided
    }

    /** Records at [now] how [inFlight] ended. */
    public fun finish(inFlight: InFlightRequest, end: TargetOutcome, now: MonotonicTime) {
        val work = (now - inFlight.sentAt - tripTime(inFlight.load.target.zone)).coerceAtLeast(1.milliseconds)
        val isSample =
            end is TargetOutcome.Answered && !end.failed && inFlight.foundFreeSlot && !inFlight.load.isCold(now)
        inFlight.load.recordEnd(inFlight, end, if (isSample) learn(inFlight, work) else null, now)
    }

    /** Returns the time after which the answer of [inFlight] is so late that the target may be dead. */
    public fun answerTimeout(inFlight: InFlightRequest): Duration {
        val work = estimates.expected(inFlight.request.workloadClass, knownProbability = 0.0)
        return (work * PATIENCE_FACTOR + tripTime(inFlight.load.target.zone)).coerceAtLeast(SHORTEST_PATIENCE)
    }

    /** Sends a waiting request to the target that it waits for, or to any with room when its time has come. */
    private fun decideOrNull(ticket: WaitingRequest, now: MonotonicTime): Placement? {
        val usable = usableTargets(ticket.request, now)
        if (usable.isEmpty()) return Placement.Refuse(PlacementRefusalReason.NO_TARGET, NO_TARGET_RETRY)
        val choice = selector.choose(ticket.request, usable, now)
        val isDue = now >= ticket.expiresAt
        val free = choice.free?.takeIf { isDue || it === choice.best }
        if (free != null && ticket.request.deadline - now > choice.freeLatency) {
            return send(ticket.request, free, choice, now)
        }
        if (!isDue) return null
        return Placement.Refuse(PlacementRefusalReason.OVERLOADED, queueWait(ticket.request, now) + MINIMUM_RETRY)
    }

    /** Learns from the [work] that a request took; returns it relative to what it should have been. */
    private fun learn(inFlight: InFlightRequest, work: Duration): Double {
        val workloadClass = inFlight.request.workloadClass
        val age = inFlight.objectAge
        val surelyKnown = age != null && age < SURELY_KNOWN_AGE
        val known = inFlight.request.objectKey != null && (surelyKnown || estimates.looksKnown(workloadClass, work))
        if (age != null) inFlight.load.learnObject(age, known)
        preference.learn(inFlight.rank, known)
        val should = estimates.expected(workloadClass, if (known) 1.0 else 0.0)
        // A slow target's work says nothing about the others.
        if (inFlight.load.speedFactor < SLOW_FACTOR) estimates.observe(workloadClass, known, work)
        return work / should.coerceAtLeast(1.milliseconds)
    }

    private fun usableTargets(request: PlacementRequest, now: MonotonicTime): List<TargetLoad> {
        val eligible = loads.values.filter { load ->
            mayReceive(load.target) &&
                load.target.key !in request.excluded &&
                (request.homeRegions.isEmpty() || capacity.regionOf(load) in request.homeRegions)
        }
        val healthy = eligible.filterNot { it.isSuspended(now) }
        // Suspensions that would leave too few targets say more about this VM's own links than about the targets.
        return if (healthy.size * 2 >= eligible.size) healthy else eligible
    }

    private fun send(
        request: PlacementRequest,
        load: TargetLoad,
        choice: TargetChoice,
        now: MonotonicTime,
    ): Placement.Send {
        val cold = load.isCold(now)
        if (cold) coldLimit.recordSent(load, now)
        capacity.regionOf(load)?.let { shift.recordSent(it, now) }
        val rank = choice.rankOf(load)
        val work = estimates.expected(request.workloadClass, preference.hitRate(request, rank))
        val expected = if (cold) work * TargetLoad.COLD_FACTOR else work
        val inFlight = InFlightRequest(
            load = load,
            request = request,
            sentAt = now,
            expected = expected,
            loadFound = load.load(now),
            slotShare = expected / (expected + tripTime(load.target.zone)),
            rank = rank,
            objectAge = load.objectAgeOrNull(request),
        )
        load.recordSent(inFlight, now)
        return Placement.Send(load.target, inFlight, cold)
    }

    private fun queueOrRefuse(
        request: PlacementRequest,
        choice: TargetChoice,
        wait: Duration,
        now: MonotonicTime,
    ): Placement {
        val latency = (choice.bestLatency + wait).coerceAtMost(LONGEST_ESTIMATE)
        val left = request.deadline - now
        val spare = untilGoal(request, latency, now)
        val affordable = if (spare > ZERO) spare + wait else (left - latency) * LATE_WAIT_SHARE
        if (left >= latency && wait <= affordable) {
            val ticket = WaitingRequest(request, now + affordable.coerceAtMost(left - latency), nextSequence++)
            waiting.add(ticket)
            return Placement.Wait(ticket)
        }
        // A slot that is free now serves the request, if late, better than a refusal.
        if (choice.free != null && choice.freeLatency <= left) return send(request, choice.free, choice, now)
        if (left < latency) return Placement.Refuse(PlacementRefusalReason.DEADLINE, wait + MINIMUM_RETRY)
        return Placement.Refuse(PlacementRefusalReason.OVERLOADED, wait - affordable + MINIMUM_RETRY)
    }

    /** Time by which an answer after [latency] would come before the goal; negative if it would be late. */
    private fun untilGoal(request: PlacementRequest, latency: Duration, now: MonotonicTime): Duration =
        request.latencyObjective - (now - request.startedAt) - TargetSelector.CALLER_TRIP - latency

    /** Time until those that go before [request] are served. */
    private fun queueWait(request: PlacementRequest, now: MonotonicTime): Duration {
        val ahead = waiting.count { it.request.workloadClass.priority <= request.workloadClass.priority }
        return capacity.queueWait(ahead, estimates.average, now)
    }

    private companion object {
        /** An object that was sent this few requests before is known whatever a target keeps. */
        const val SURELY_KNOWN_AGE = 2L
        const val SLOW_FACTOR = 1.7

        /** Share of what is left that a request may wait if it can't be answered in time. */
        const val LATE_WAIT_SHARE = 0.25

        /** Waiting requests for which a target is sought each time; the queue's end is only checked for expiry. */
        const val EXAMINED_LIMIT = 24

        /** An answer this many times over its expected time is probably not coming. */
        const val PATIENCE_FACTOR = 4
        val SHORTEST_PATIENCE = 400.milliseconds
        val MINIMUM_RETRY = 50.milliseconds
        val LONGEST_ESTIMATE = 60.seconds

        /** Targets appear through store events, which take about this long after a loss. */
        val NO_TARGET_RETRY = 300.milliseconds
    }
}
