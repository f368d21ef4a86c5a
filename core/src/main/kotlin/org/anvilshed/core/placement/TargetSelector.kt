package org.anvilshed.core.placement

import org.anvilshed.core.MonotonicTime
import org.anvilshed.core.RegionName
import org.anvilshed.core.ZoneName
import kotlin.math.ceil
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Targets for one request.
 *
 * @property best target from which the answer would come soonest, although it may be full.
 * @property free best of the targets that may get the request now, or `null` if there is none.
 * @property rankOf rank of each target for the object of the request.
 */
internal class TargetChoice(
    val best: TargetLoad,
    val bestLatency: Duration,
    val free: TargetLoad?,
    val freeLatency: Duration,
    val rankOf: (TargetLoad) -> ObjectRank,
)

/** Chooses the target from which the answer to a request is expected soonest. Not thread-safe. */
internal class TargetSelector(
    private val settings: PlacementSettings,
    private val shift: ShiftChangeLimiter,
    private val tripTime: (ZoneName) -> Duration,
    private val estimates: WorkEstimates,
    private val capacity: RegionCapacity,
    private val preference: ObjectPreference,
    private val coldLimit: ColdLimit,
) {
    private class Candidate(
        val load: TargetLoad,
        val latency: Duration,
        val cost: Duration,
        val isDemanded: Boolean,
        val rank: ObjectRank,
    )

    /** Returns the choice among [usable], which must not be empty, for [request] at [now]. */
    fun choose(request: PlacementRequest, usable: List<TargetLoad>, now: MonotonicTime): TargetChoice {
        val demanded = shift.regions.firstOrNull { it != settings.region && shift.demands(it, now) }
        val rankOf = preference.ranks(request, usable)
        val hasNear = usable.any { !capacity.isRemote(it) }
        val all = usable.map { candidate(request, it, rankOf(it), demanded, now) }
        // Requests that leave the region take slots from those that don't have to, so they must gain by it.
        val candidates = all.filter { !hasNear || it.isDemanded || isWorthLeaving(request, it, now) }.ifEmpty { all }
        val free = candidates.filter { hasRoom(it, now) && mayUse(it.load, hasNear, now) }.minByOrNull { it.cost }
        val soonest = candidates.minBy { it.cost }
        // A target that this VM may not use now, although it has room, is not worth waiting for.
        val best = if (free != null && hasRoom(soonest, now)) free else soonest
        return TargetChoice(
            best = best.load,
            bestLatency = best.latency,
            free = free?.load,
            freeLatency = free?.latency ?: Duration.INFINITE,
            rankOf = rankOf,
        )
    }

    private fun candidate(
        request: PlacementRequest,
        load: TargetLoad,
        rank: ObjectRank,
        demanded: RegionName?,
        now: MonotonicTime,
    ): Candidate {
        val work = estimates.expected(request.workloadClass, preference.hitRate(request, rank))
        val latency = latency(load, work, now)
        val isDemanded = demanded != null && capacity.regionOf(load) == demanded
        val displacement = if (rank == ObjectRank.OTHER) DISPLACEMENT_COST else 0.0
        val surcharge = surchargeShare(load, now) + displacement
        val cost = latency + work * surcharge
        return Candidate(load, latency, if (isDemanded) cost * DEMANDED_DISCOUNT else cost, isDemanded, rank)
    }

    private fun isWorthLeaving(request: PlacementRequest, candidate: Candidate, now: MonotonicTime): Boolean {
        val load = candidate.load
        if (!capacity.isRemote(load)) return true
        val inTime = now - request.startedAt + candidate.latency + CALLER_TRIP <= request.latencyObjective
        val occupied = load.load(now) / load.target.slots
        return occupied < (if (inTime) REMOTE_OCCUPANCY else LATE_REMOTE_OCCUPANCY)
    }

    private fun mayUse(load: TargetLoad, hasNear: Boolean, now: MonotonicTime): Boolean {
        val region = capacity.regionOf(load)
        // Requests of a region without targets leave it or are refused, whatever share left it before.
        val leavesByChoice = region != null && hasNear && capacity.isRemote(load)
        if (region != null && leavesByChoice && !shift.allows(region, capacity.lostSlots(now), now)) return false
        return !load.isCold(now) || coldLimit.allows(load, now)
    }

    /** Expected time until the answer of [load] to a request of the given [work]. */
    private fun latency(load: TargetLoad, work: Duration, now: MonotonicTime): Duration {
        val factor = if (load.isCold(now)) TargetLoad.COLD_FACTOR else load.slowness(now)
        val ahead = (load.load(now) - load.target.slots + 1).coerceAtLeast(0.0)
        return tripTime(load.target.zone) + (work + estimates.average * (ahead / load.target.slots)) * factor
    }

    /** What a choice costs beside the time of the request itself, as a share of its work. */
    private fun surchargeShare(load: TargetLoad, now: MonotonicTime): Double {
        val occupied = (load.load(now) / load.target.slots).coerceAtMost(1.0)
        val explore = load.needsExploration(now) && !capacity.isRemote(load) && load.failureShare < SOUND_SHARE
        val share = SLOT_COST + load.failureShare * FAILURE_COST + occupied * OCCUPANCY_COST
        return if (explore) share - EXPLORATION_GAIN else share
    }

    /**
     * Whether the target of [candidate] may hold one more request.
     *
     * A request that waits at a target for the slot of a short one may be answered sooner than on a free slot
     * elsewhere, and no slot idles for a trip. The rest waits at the VM, where urgent kinds go first. Where the object
     * is not kept, the request takes the slot for several times as long as at the targets that keep it, so under load
     * it waits for one of those.
     */
    private fun hasRoom(candidate: Candidate, now: MonotonicTime): Boolean {
        val slots = candidate.load.target.slots
        val limit = when (candidate.rank) {
            ObjectRank.OTHER -> slots * DISPLACEMENT_OCCUPANCY

            ObjectRank.SECOND, ObjectRank.REMOTE -> slots * SPARE_OCCUPANCY

            ObjectRank.SENT, ObjectRank.FIRST, ObjectRank.ANY ->
                if (capacity.isRemote(candidate.load)) slots.toDouble() else slots + ceil(slots * OVERCOMMIT_SHARE)
        }
        // Requests under way count as a part of a slot, so loads are compared to the middle between two numbers.
        return candidate.load.load(now) < limit - HALF_SLOT
    }

    companion object {
        /** Time between a caller and a VM and back, which counts towards the goal; VMs can't measure it. */
        val CALLER_TRIP = 10.milliseconds

        /** Work that a request takes from others: a slot that it holds longer serves fewer of them. */
        private const val SLOT_COST = 0.5

        /** A target that does not keep the object works as for a new one and may forget another object for it. */
        private const val DISPLACEMENT_COST = 0.5

        /** Occupancy up to which a target takes requests for objects that it is not meant to keep. */
        private const val DISPLACEMENT_OCCUPANCY = 0.5

        /**
         * Occupancy up to which a target that is not the first choice for an object takes requests for it. While
         * targets know few objects, as after a start, one target for each object becomes fast soonest.
         */
        private const val SPARE_OCCUPANCY = 0.75

        /** A failed request costs about two more: one that is sent again and one that it delays. */
        private const val FAILURE_COST = 2.0

        /** Other VMs may send to the same free slot at the same moment, the sooner the fewer are free. */
        private const val OCCUPANCY_COST = 0.1

        /** Makes a new or doubtful target the choice unless it is expected to be several times slower. */
        private const val EXPLORATION_GAIN = 3.0
        private const val SOUND_SHARE = 0.3

        /** Makes a region the choice whose share of the requests would otherwise fall too fast. */
        private const val DEMANDED_DISCOUNT = 0.5

        /** Occupancy up to which targets of another region take requests that are still in time there, or late. */
        private const val REMOTE_OCCUPANCY = 0.85
        private const val LATE_REMOTE_OCCUPANCY = 0.5

        /** Requests that may wait at a target, as a share of its slots. */
        private const val OVERCOMMIT_SHARE = 0.2
        private const val HALF_SLOT = 0.5
    }
}
