package org.anvilshed.core.placement

import org.anvilshed.core.MonotonicTime
import org.anvilshed.core.ZoneName
import org.anvilshed.core.fleet.RegisteredTarget
import org.anvilshed.core.fleet.TargetKey
import org.anvilshed.core.ingress.ServicePolicy
import org.anvilshed.core.membership.rendezvousScore
import java.util.TreeSet
import kotlin.time.Duration
import kotlin.time.Duration.Companion.ZERO
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Targets of one service with the queue of the requests that wait for them at one VM.
 *
 * A request goes to the target with the lowest expected cost if that target is estimated to have room. Otherwise the
 * request waits, the most urgent first, as long as it may still be answered within its latency objective. A request
 * that would have to wait longer is refused at once, so that slots serve requests that are still in time. Not
 * thread-safe.
 *
 * @param self name of this VM.
 * @param settings settings at present.
 * @param shiftLimiter limits the requests that leave the region; shared by all services of the VM.
 * @param roundTripTime expected network round-trip time to a target in a zone.
 */
public class ServicePool(
    private val self: String,
    private val settings: () -> PlacementSettings,
    private val shiftLimiter: ShiftChangeLimiter,
    private val roundTripTime: (ZoneName) -> Duration,
) {
    private val loads = LinkedHashMap<TargetKey, TargetLoad>()
    private val waiting = TreeSet(WaitingRequest.DISPATCH_ORDER)
    private val estimates = ProcessingTimeEstimates()
    private val rateLimiter = SharedRateLimiter(self, settings)
    private val capacity = RegionCapacity(rateLimiter::requestsPerSecond) { loads.values }
    private val affinity = ObjectAffinity(capacity)
    private val selector =
        TargetSelector(settings, shiftLimiter, roundTripTime, estimates, capacity, affinity, rateLimiter)
    private var nextSequence = 0L

    /** Number of waiting requests. */
    public val queueLength: Int
        get() = waiting.size

    /** Returns the slots that this VM's requests in flight occupy, by the name of the target. */
    public fun occupiedSlots(): Map<String, Double> =
        loads.values.filter { it.inFlightCount > 0 }.associate { it.target.key.name to it.occupiedSlots }

    /** Replaces the targets of the service at [now]; measurements of targets that remain are kept. */
    public fun updateTargets(targets: Collection<RegisteredTarget>, evacuatedZones: Set<ZoneName>, now: MonotonicTime) {
        val keys = targets.mapTo(HashSet()) { it.key }
        loads.keys.retainAll(keys)
        val regions = settings().regions
        for (target in targets) {
            val load = loads.getOrPut(target.key) { TargetLoad(target, now) }
            load.target = target
            load.region = regions[target.zone]
            load.isRemote = load.region != settings().region
        }
        capacity.evacuated = evacuatedZones
    }

    /** Replaces the limits of the service and the names of the VMs, [members], that share them. */
    public fun updatePolicy(policy: ServicePolicy?, members: List<String>): Unit = rateLimiter.update(policy, members)

    /** Replaces the announced slots; [slotsOf] returns those that requests of other VMs occupy at the named target. */
    public fun updateAnnouncedSlots(slotsOf: (String) -> Double) {
        for (load in loads.values) load.announcedSlotsOfOthers = slotsOf(load.target.key.name)
    }

    /** Returns whether [target] may get a request at [now]; must be checked again immediately before each send. */
    public fun mayReceive(target: RegisteredTarget, now: MonotonicTime): Boolean {
        val load = loads[target.key] ?: return false
        return capacity.mayReceive(load, now)
    }

    /**
     * Records that the target of [inFlight] asked at [now] for [pause] without requests from this VM.
     *
     * The VMs that it asked at the same time, as when it was overloaded, return one after the other.
     */
    public fun recordPause(inFlight: InFlightRequest, pause: Duration, now: MonotonicTime) {
        val score = rendezvousScore(inFlight.load.target.key.name, self)
        val fraction = (score ushr 1).toDouble() / Long.MAX_VALUE
        val extension = (pause * PAUSE_EXTENSION_FRACTION).coerceAtMost(MAXIMUM_PAUSE_EXTENSION)
        inFlight.load.recordPause(now + pause + extension * fraction)
    }

    /** Decides at [now] whether [request] is sent, waits or is refused. */
    public fun offer(request: PlacementRequest, now: MonotonicTime): Placement {
        val usable = usableTargets(request, now)
        if (usable.isEmpty()) return refuseWithoutTarget(request, now)
        affinity.adjust(now)
        val choice = selector.choose(request, usable, now)
        val wait = queueWait(request, now)
        val free = choice.free?.takeIf { isBetterThanWaiting(request, it, choice, wait, now) }
        return if (free != null) send(request, free, choice, now) else queueOrRefuse(request, choice, wait, now)
    }

    /** Returns whether [request] should go to [free] now, although another target may be better once it has room. */
    private fun isBetterThanWaiting(
        request: PlacementRequest,
        free: TargetLoad,
        choice: TargetChoice,
        wait: Duration,
        now: MonotonicTime,
    ): Boolean {
        if (free === choice.best) return true
        val isInTime = slackToObjective(request, choice.freeLatency, now) >= ZERO
        return isInTime && choice.freeLatency < choice.bestLatency + wait
    }

    /** Removes a request whose caller disconnected; returns whether the request was still waiting. */
    public fun cancel(ticket: WaitingRequest): Boolean = waiting.remove(ticket)

    /** Decides at [now] about waiting requests for which a target is free or whose waiting time has expired. */
    public fun dispatchWaiting(now: MonotonicTime): List<Pair<WaitingRequest, Placement>> {
        if (waiting.isEmpty()) return emptyList()
        val decided = ArrayList<Pair<WaitingRequest, Placement>>()
        val hasRoom = loads.values.any { capacity.mayReceive(it, now) && selector.hasRoom(it, now) }
        for ((index, ticket) in waiting.toList().withIndex()) {
            val isExamined = index < EXAMINED_LIMIT || now >= ticket.expiresAt
            val placement = if (isExamined) decideOrNull(ticket, hasRoom, now) else null
            if (placement != null) {
                waiting.remove(ticket)
                decided.add(ticket to placement)
            }
        }
        return decided
    }

    /** Records at [now] the [outcome] of [inFlight]. */
    public fun finish(inFlight: InFlightRequest, outcome: TargetOutcome, now: MonotonicTime) {
        val answeredAt = (outcome as? TargetOutcome.Answered)?.answeredAt ?: now
        val processingTime =
            (answeredAt - inFlight.sentAt - roundTripTime(inFlight.load.target.zone)).coerceAtLeast(1.milliseconds)
        val isSample =
            outcome is TargetOutcome.Answered && !outcome.failed && inFlight.hadFreeSlot && !inFlight.load.isCold(now)
        inFlight.load.recordOutcome(inFlight, outcome, if (isSample) learn(inFlight, processingTime) else null, now)
    }

    /** Number of targets that state a rate limit. */
    public val limitedTargetCount: Int
        get() = loads.values.count { it.rateLimit.requestsPerSecondOrNull != null }

    /**
     * Records what the response to [inFlight], which arrived at [now], states about the rate limit of its target;
     * returns whether that changes the limit.
     */
    public fun recordRateLimit(inFlight: InFlightRequest, statement: RateLimitStatement, now: MonotonicTime): Boolean =
        inFlight.load.rateLimit.record(statement, now)

    /** Returns what other VMs need to know at [now] about the targets that state a rate limit, or did so recently. */
    public fun rates(now: MonotonicTime): Map<TargetKey, TargetRate> = buildMap {
        for ((key, load) in loads) load.rateLimit.announcementOrNull(now)?.let { put(key, it) }
    }

    /** Replaces what other VMs announced about the rate limits of targets, which [announced] returns. */
    public fun updateAnnouncedRates(announced: (TargetKey) -> TargetRate?) {
        for ((key, load) in loads) load.rateLimit.recordAnnounced(announced(key))
    }

    /** Returns whether a target other than [target] may get [request] at [now]. */
    public fun hasAlternative(request: PlacementRequest, target: RegisteredTarget, now: MonotonicTime): Boolean =
        loads.values.any { it.target.key != target.key && isEligible(it, request, now) }

    /** Returns the time after the send of [inFlight] at which its answer is so late that the target may have failed. */
    public fun answerTimeout(inFlight: InFlightRequest): Duration =
        (longestProcessingTime(inFlight.request.workloadClass) + roundTripTime(inFlight.load.target.zone))
            .coerceAtLeast(MINIMUM_ANSWER_TIMEOUT)

    /** Returns the time within which a sound target has processed nearly every request of [workloadClass]. */
    public fun longestProcessingTime(workloadClass: WorkloadClass): Duration =
        estimates.expected(workloadClass, cachedProbability = 0.0) * ANSWER_TIMEOUT_FACTOR

    /**
     * Decides about a waiting request: it goes to its best target, or to any with room once it has expired.
     *
     * @param hasRoom whether any target has room; otherwise the request can only go on waiting until it expires.
     */
    private fun decideOrNull(ticket: WaitingRequest, hasRoom: Boolean, now: MonotonicTime): Placement? {
        if (loads.values.none { isEligible(it, ticket.request, now) }) return refuseWithoutTarget(ticket.request, now)
        val hasExpired = now >= ticket.expiresAt
        if (!hasRoom && !hasExpired) return null
        val choice = selector.choose(ticket.request, usableTargets(ticket.request, now), now)
        val free = choice.free?.takeIf { hasExpired || it === choice.best }
        if (free != null && ticket.request.deadline - now > choice.freeLatency) {
            return send(ticket.request, free, choice, now)
        }
        if (!hasExpired) return null
        return Placement.Refuse(PlacementRefusalReason.OVERLOADED, queueWait(ticket.request, now) + MINIMUM_RETRY_DELAY)
    }

    /** Learns from the [processingTime] of a request; returns its ratio to the expected time. */
    private fun learn(inFlight: InFlightRequest, processingTime: Duration): Double {
        val workloadClass = inFlight.request.workloadClass
        val age = inFlight.objectAge
        val surelyCached = age != null && age < SURELY_CACHED_AGE
        val cached =
            inFlight.request.objectKey != null && (surelyCached || estimates.looksCached(workloadClass, processingTime))
        if (age != null) inFlight.load.observeObject(age, cached)
        affinity.learn(inFlight.rank, cached)
        val expected = estimates.expected(workloadClass, if (cached) 1.0 else 0.0)
        // The processing time of a slow target is no measurement of what other targets need.
        if (inFlight.load.slowdown < MAXIMUM_SAMPLE_SLOWDOWN) estimates.observe(workloadClass, cached, processingTime)
        return processingTime / expected.coerceAtLeast(1.milliseconds)
    }

    /** Refuses [request]; it is worth a new attempt when the first target ends its pause, if any has asked for one. */
    private fun refuseWithoutTarget(request: PlacementRequest, now: MonotonicTime): Placement.Refuse {
        val resumesAt = loads.values.mapNotNull { load ->
            load.pausedUntil?.takeIf { load.isPaused(now) && isEligible(load, request, it) }
        }.minOrNull()
        if (resumesAt == null) return Placement.Refuse(PlacementRefusalReason.NO_TARGET, NO_TARGET_RETRY_DELAY)
        return Placement.Refuse(PlacementRefusalReason.PAUSED, resumesAt - now + MINIMUM_RETRY_DELAY)
    }

    private fun isEligible(load: TargetLoad, request: PlacementRequest, now: MonotonicTime): Boolean =
        capacity.mayReceive(load, now) &&
            (request.excluded.isEmpty() || load.target.key !in request.excluded) &&
            (request.homeRegions.isEmpty() || load.region in request.homeRegions)

    private fun usableTargets(request: PlacementRequest, now: MonotonicTime): List<TargetLoad> {
        val eligible = loads.values.filter { isEligible(it, request, now) }
        val healthy = eligible.filterNot { it.isSuspended(now) }
        // If most targets are suspended, the cause is more likely this VM's own network than the targets.
        return if (healthy.size * 2 >= eligible.size) healthy else eligible
    }

    private fun send(
        request: PlacementRequest,
        load: TargetLoad,
        choice: TargetChoice,
        now: MonotonicTime,
    ): Placement.Send {
        val cold = load.isCold(now)
        load.region?.let { shiftLimiter.recordSent(it, now) }
        val rank = choice.rankOf(load)
        val processingTime = estimates.expected(request.workloadClass, affinity.hitRate(request, rank))
        val expected = if (cold) processingTime * TargetLoad.COLD_SLOWDOWN else processingTime
        val inFlight = InFlightRequest(
            load = load,
            request = request,
            sentAt = now,
            expectedProcessingTime = expected,
            loadAtSend = load.estimatedLoad(now),
            slotFraction = expected / (expected + roundTripTime(load.target.zone)),
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
        val latency = (choice.bestLatency + wait).coerceAtMost(MAXIMUM_LATENCY_ESTIMATE)
        val timeLeft = request.deadline - now
        val slack = slackToObjective(request, latency, now)
        val maximumWait = if (slack > ZERO) slack + wait else (timeLeft - latency) * LATE_WAIT_FRACTION
        if (timeLeft >= latency && wait <= maximumWait) {
            val ticket = WaitingRequest(request, now + maximumWait.coerceAtMost(timeLeft - latency), nextSequence++)
            waiting.add(ticket)
            return Placement.Wait(ticket)
        }
        // A late answer from a slot that is free now is better than a refusal.
        if (choice.free != null && choice.freeLatency <= timeLeft) return send(request, choice.free, choice, now)
        val rateDelay = choice.bestRateDelay.coerceAtMost(MAXIMUM_RATE_RETRY_DELAY)
        if (timeLeft < latency) {
            return Placement.Refuse(PlacementRefusalReason.DEADLINE, maxOf(wait, rateDelay) + MINIMUM_RETRY_DELAY)
        }
        return Placement.Refuse(PlacementRefusalReason.OVERLOADED, wait - maximumWait + MINIMUM_RETRY_DELAY)
    }

    /** Returns the time left until the latency objective after an answer in [latency]; negative if that is late. */
    private fun slackToObjective(request: PlacementRequest, latency: Duration, now: MonotonicTime): Duration =
        request.latencyObjective - (now - request.startedAt) - TargetSelector.CALLER_ROUND_TRIP - latency

    /** Returns the time until the requests that go before [request] have got slots. */
    private fun queueWait(request: PlacementRequest, now: MonotonicTime): Duration {
        val ahead = waiting.count { it.request.workloadClass.priority <= request.workloadClass.priority }
        return capacity.queueWait(ahead, estimates.average, now)
    }

    private companion object {
        /** Time by which VMs return later than the target asked, at most, as a fraction of its pause. */
        const val PAUSE_EXTENSION_FRACTION = 0.25
        val MAXIMUM_PAUSE_EXTENSION = 1.seconds

        /** An object that was sent fewer requests before than this is still cached, however few a target caches. */
        const val SURELY_CACHED_AGE = 2L

        /** Processing times of targets with at least this slowdown are ignored. */
        const val MAXIMUM_SAMPLE_SLOWDOWN = 1.7

        /** Fraction of the time to spare before the deadline that a request may wait if it misses its objective. */
        const val LATE_WAIT_FRACTION = 0.25

        /** Number of requests at the front of the queue that are matched to targets; others can only expire. */
        const val EXAMINED_LIMIT = 24

        /** An answer that takes longer than this multiple of its expected time will probably not arrive. */
        const val ANSWER_TIMEOUT_FACTOR = 4
        val MINIMUM_ANSWER_TIMEOUT = 400.milliseconds
        val MINIMUM_RETRY_DELAY = 50.milliseconds

        /** A caller that returns may reach another VM, which may send to a rate-limited target sooner. */
        val MAXIMUM_RATE_RETRY_DELAY = 1.seconds
        val MAXIMUM_LATENCY_ESTIMATE = 60.seconds

        /** Time that store events take to announce new targets after a loss. */
        val NO_TARGET_RETRY_DELAY = 300.milliseconds
    }
}
