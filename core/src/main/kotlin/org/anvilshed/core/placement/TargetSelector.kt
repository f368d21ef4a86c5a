package org.anvilshed.core.placement

import org.anvilshed.core.MonotonicTime
import org.anvilshed.core.RegionName
import org.anvilshed.core.ZoneName
import kotlin.math.ceil
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Targets that were chosen for one request.
 *
 * @property best target with the lowest cost, which may be full; targets that have room but may not be used are left
 *   out if there is a [free] one.
 * @property bestLatency expected time until an answer of [best].
 * @property bestRateDelay part of [bestLatency] until the rate limit of [best] allows this VM to send to it.
 * @property free target with the lowest cost among those that may get the request now, or `null` if there is none.
 * @property freeLatency expected time until an answer of [free]; infinite if there is none.
 * @property rankOf returns the rank of a target for the object of the request.
 */
internal class TargetChoice(
    val best: TargetLoad,
    val bestLatency: Duration,
    val bestRateDelay: Duration,
    val free: TargetLoad?,
    val freeLatency: Duration,
    val rankOf: (TargetLoad) -> ObjectRank,
)

/**
 * Chooses the target with the lowest cost for a request: its expected latency and what it costs other requests. Not
 * thread-safe.
 */
internal class TargetSelector(
    private val settings: () -> PlacementSettings,
    private val shiftLimiter: ShiftChangeLimiter,
    private val roundTripTime: (ZoneName) -> Duration,
    private val estimates: ProcessingTimeEstimates,
    private val capacity: RegionCapacity,
    private val affinity: ObjectAffinity,
    private val rateLimiter: SharedRateLimiter,
) {
    /** Target with its figures for one request; times are in milliseconds. */
    private class Candidate(
        val load: TargetLoad,
        val rank: ObjectRank,
        val estimatedLoad: Double,
        val latency: Double,
        val rateDelay: Duration,
        val cost: Double,
        val isRequired: Boolean,
    )

    /** Returns the choice among [usable], which must not be empty, for [request] at [now]. */
    fun choose(request: PlacementRequest, usable: List<TargetLoad>, now: MonotonicTime): TargetChoice {
        val ranks = affinity.ranks(request, usable)
        val hasLocal = usable.any { !it.isRemote }
        val all = candidates(request, usable, ranks, now)
        // A request that leaves the region takes a slot from requests that need not, so leaving must have a benefit.
        val timeLeft = milliseconds(request.latencyObjective - CALLER_ROUND_TRIP - (now - request.startedAt))
        val candidates = all.filter {
            !hasLocal || it.isRequired || isLocalOrWorthLeaving(it, timeLeft)
        }.ifEmpty { all }
        val shift = ShiftPermissions(hasLocal, now)
        var cheapest = candidates.first()
        var free: Candidate? = null
        for (candidate in candidates) {
            if (candidate.cost < cheapest.cost) cheapest = candidate
            val isCheaper = free == null || candidate.cost < free.cost
            if (isCheaper && hasRoom(candidate) && mayUse(candidate, shift)) free = candidate
        }
        // A target that has room but that this VM may not use now is not worth waiting for.
        val best = if (free != null && hasRoom(cheapest)) free else cheapest
        return TargetChoice(
            best = best.load,
            bestLatency = best.latency.milliseconds,
            bestRateDelay = best.rateDelay,
            free = free?.load,
            freeLatency = free?.latency?.milliseconds ?: Duration.INFINITE,
            rankOf = ranks::of,
        )
    }

    /** Returns whether [load] may have one more request of any rank at [now]. */
    fun hasRoom(load: TargetLoad, now: MonotonicTime): Boolean =
        load.estimatedLoad(now) < roomLimit(load, ObjectRank.ANY) - HALF_SLOT && rateLimiter.allows(load, now)

    private fun candidates(
        request: PlacementRequest,
        usable: List<TargetLoad>,
        ranks: ObjectRanks,
        now: MonotonicTime,
    ): List<Candidate> {
        val requiredRegion = shiftLimiter.regions.firstOrNull {
            it != settings().region && shiftLimiter.requires(it, now)
        }
        val processingTimes = DoubleArray(ObjectRank.entries.size) { ordinal ->
            val hitRate = affinity.hitRate(request, ObjectRank.entries[ordinal])
            milliseconds(estimates.expected(request.workloadClass, hitRate))
        }
        val averageProcessingTime = milliseconds(estimates.average)
        return usable.map { load ->
            val rank = ranks.of(load)
            val estimatedLoad = load.estimatedLoad(now)
            val processingTime = processingTimes[rank.ordinal]
            // Requests that are ahead in the queue of the target.
            val ahead = (estimatedLoad - load.target.slots + 1).coerceAtLeast(0.0)
            val slowdown = if (load.isCold(now)) TargetLoad.COLD_SLOWDOWN else load.currentSlowdown(now)
            val rateDelay = rateLimiter.delay(load, now).coerceAtMost(MAXIMUM_RATE_DELAY)
            val latency = milliseconds(roundTripTime(load.target.zone) + rateDelay) +
                (processingTime + averageProcessingTime * (ahead / load.target.slots)) * slowdown
            val isRequired = requiredRegion != null && load.region == requiredRegion
            val cost = latency + processingTime * surchargeFraction(load, rank, estimatedLoad, now)
            val discountedCost = if (isRequired) cost * REQUIRED_REGION_DISCOUNT else cost
            Candidate(load, rank, estimatedLoad, latency, rateDelay, discountedCost, isRequired)
        }
    }

    /**
     * Returns whether the target is local, or has so many free slots that the request may leave the region for it.
     *
     * @param timeLeft time until the latency objective of the request, in milliseconds.
     */
    private fun isLocalOrWorthLeaving(candidate: Candidate, timeLeft: Double): Boolean {
        if (!candidate.load.isRemote) return true
        val limit = if (candidate.latency <= timeLeft) REMOTE_TARGET_OCCUPANCY else LATE_REMOTE_TARGET_OCCUPANCY
        return candidate.estimatedLoad / candidate.load.target.slots < limit
    }

    /** Regions that requests may leave for at [now]; each is looked up once for a decision. */
    private inner class ShiftPermissions(private val hasLocal: Boolean, private val now: MonotonicTime) {
        private val known = HashMap<RegionName, Boolean>()
        private val hasLostSlots by lazy(LazyThreadSafetyMode.NONE) { capacity.hasLostSlots(now) }

        fun allows(load: TargetLoad): Boolean {
            val region = load.region
            // If the region has no targets, its requests must leave it or are refused, so no limit applies to them.
            if (region == null || !hasLocal || !load.isRemote) return true
            return known.getOrPut(region) { shiftLimiter.allows(region, hasLostSlots, now) }
        }
    }

    /** Returns whether the limits for other regions and on the target's rate allow a request to it now. */
    private fun mayUse(candidate: Candidate, shift: ShiftPermissions): Boolean =
        candidate.rateDelay == Duration.ZERO && shift.allows(candidate.load)

    /** Returns what the choice of a target costs in addition to the latency, as a fraction of the processing time. */
    private fun surchargeFraction(
        load: TargetLoad,
        rank: ObjectRank,
        estimatedLoad: Double,
        now: MonotonicTime,
    ): Double {
        val occupied = (estimatedLoad / load.target.slots).coerceAtMost(1.0)
        val explore =
            !load.isRemote && load.failureRate < MAXIMUM_EXPLORED_FAILURE_RATE && load.needsExploration(now)
        val eviction = if (rank == ObjectRank.OTHER) EVICTION_COST else 0.0
        val fraction = SLOT_COST + load.failureRate * FAILURE_COST + occupied * OCCUPANCY_COST + eviction
        return if (explore) fraction - EXPLORATION_DISCOUNT else fraction
    }

    /**
     * Returns whether the target of [candidate] may have one more request, in a slot or waiting for one.
     *
     * A request that waits at a target behind a short one may be answered sooner than in a free slot of another target,
     * and no slot is idle for a round trip. All further requests wait at the VM, where urgent ones go first. On a
     * target without the object in its cache, the request occupies the slot several times as long as on a target that
     * has it cached, so under load the request waits for one of the latter.
     */
    private fun hasRoom(candidate: Candidate): Boolean {
        // A request counts as a fraction of a slot because of its time on the network, so the load is compared to a
        // value halfway between two whole numbers.
        return candidate.estimatedLoad < roomLimit(candidate.load, candidate.rank) - HALF_SLOT
    }

    /** Returns how many requests a target may have if it has [rank] for the next one. */
    private fun roomLimit(load: TargetLoad, rank: ObjectRank): Double {
        val slots = load.target.slots
        return when (rank) {
            ObjectRank.OTHER -> slots * OTHER_RANK_OCCUPANCY

            ObjectRank.SECOND, ObjectRank.REMOTE -> slots * SECONDARY_RANK_OCCUPANCY

            ObjectRank.SENT, ObjectRank.FIRST, ObjectRank.ANY ->
                if (load.isRemote) slots.toDouble() else slots + ceil(slots * OVERCOMMIT_FRACTION)
        }
    }

    private fun milliseconds(duration: Duration): Double = duration.inWholeNanoseconds / NANOSECONDS_PER_MILLISECOND

    companion object {
        /** Assumed round trip between caller and VM; counts towards the latency objective, and VMs can't measure it. */
        val CALLER_ROUND_TRIP = 10.milliseconds

        /** Stands for the delay of a target to which only other VMs send; longer than any request may wait. */
        private val MAXIMUM_RATE_DELAY = 60.seconds

        /** Cost of the occupied slot: the longer one request occupies it, the fewer other requests it serves. */
        private const val SLOT_COST = 0.5

        /** Cost of a target outside the choices for the object: it may evict another object from its cache. */
        private const val EVICTION_COST = 0.5

        /** Occupancy below which a target gets requests for which its rank is [ObjectRank.OTHER]. */
        private const val OTHER_RANK_OCCUPANCY = 0.5

        /**
         * Occupancy below which a target gets requests for which it is not the first choice. While targets have few
         * objects cached, as after a start, they become fast soonest if each object goes to one target.
         */
        private const val SECONDARY_RANK_OCCUPANCY = 0.75

        /** Cost of a failure, about that of two requests: the retry and another request that the failed one delays. */
        private const val FAILURE_COST = 2.0

        /** Cost of the risk that another VM sends to the same slot at once, which is higher with fewer free slots. */
        private const val OCCUPANCY_COST = 0.1

        /** Discount for a new or suspect target: it is chosen unless it is expected to be several times slower. */
        private const val EXPLORATION_DISCOUNT = 3.0

        /** Targets with at least this failure rate get no discount. */
        private const val MAXIMUM_EXPLORED_FAILURE_RATE = 0.3

        /** Factor on the cost of a region whose fraction of the requests would otherwise fall too fast. */
        private const val REQUIRED_REGION_DISCOUNT = 0.5

        /** Occupancy below which targets of another region get requests that meet their latency objective there. */
        private const val REMOTE_TARGET_OCCUPANCY = 0.85

        /** Occupancy below which targets of another region get requests that miss their latency objective there. */
        private const val LATE_REMOTE_TARGET_OCCUPANCY = 0.5

        /** Requests that may wait at a target, as a fraction of its slots. */
        private const val OVERCOMMIT_FRACTION = 0.2
        private const val HALF_SLOT = 0.5
        private const val NANOSECONDS_PER_MILLISECOND = 1e6
    }
}
