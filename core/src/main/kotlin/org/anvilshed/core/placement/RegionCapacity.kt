package org.anvilshed.core.placement

import org.anvilshed.core.MonotonicTime
import org.anvilshed.core.ZoneName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.ZERO
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * Slots of the targets of one service, both those of this VM's region and those that this VM gets. Not thread-safe.
 *
 * @param loads all targets of the service.
 * @param rateOf part of a target's rate limit that this VM has, in requests per second; infinite without a limit.
 */
internal class RegionCapacity(
    private val rateOf: (TargetLoad, MonotonicTime) -> Double,
    private val loads: () -> Collection<TargetLoad>,
) {
    private var peakSlots = 0
    private var peakSlotsAt = MonotonicTime(0)

    /** Zones whose targets get no requests. */
    var evacuated: Set<ZoneName> = emptySet()

    /** Returns whether the target of [load] may get requests at [now]: it is in service and asked for no pause. */
    fun mayReceive(load: TargetLoad, now: MonotonicTime): Boolean = isInService(load) && !load.isPaused(now)

    private fun isInService(load: TargetLoad): Boolean = !load.target.draining && load.target.zone !in evacuated

    /** Returns the estimated load of the region's targets as a fraction of their slots; 1 if there are no slots. */
    fun occupancy(now: MonotonicTime): Double {
        val local = localTargets()
        val slots = local.sumOf { it.target.slots }
        return if (slots == 0) 1.0 else local.sumOf { it.estimatedLoad(now) } / slots
    }

    /** Returns whether the region recently lost so many slots that its requests must move to other regions at once. */
    fun hasLostSlots(now: MonotonicTime): Boolean {
        val present = localTargets().sumOf { it.target.slots }
        if (present >= peakSlots || now - peakSlotsAt >= PEAK_LIFETIME) {
            peakSlots = present
            peakSlotsAt = now
        }
        return present < peakSlots * LOST_SLOTS_FRACTION
    }

    /**
     * Returns the time until slots are free for [waiting] requests of this VM that take [averageProcessingTime] each.
     *
     * The number of slots that this VM's requests occupy, in any region, shows how many slots this VM gets; free slots
     * of its own region are added.
     */
    fun queueWait(waiting: Int, averageProcessingTime: Duration, now: MonotonicTime): Duration {
        if (waiting == 0) return ZERO
        var slots = 0.0
        var isLimited = false
        for (load in loads()) {
            // A rate limit keeps as many slots busy as requests start in the time that one takes.
            val limit = rateOf(load, now) * averageProcessingTime.toDouble(DurationUnit.SECONDS)
            if (limit < load.target.slots) isLimited = true
            slots += minOf(obtainableSlots(load, now), limit)
        }
        return averageProcessingTime * (waiting / slots.coerceAtLeast(if (isLimited) MINIMUM_LIMITED_SLOTS else 1.0))
    }

    /** Returns the slots of a target that this VM gets: its part of the occupied ones, and free ones if it is local. */
    private fun obtainableSlots(load: TargetLoad, now: MonotonicTime): Double {
        val slots = load.target.slots.toDouble()
        val occupied = load.estimatedLoad(now)
        val own = load.occupiedSlots * slots / maxOf(occupied, slots)
        return if (!load.isRemote && mayReceive(load, now)) own + (slots - occupied).coerceAtLeast(0.0) else own
    }

    /** A pause is a short part of the load of a target; its slots are not lost. */
    private fun localTargets(): List<TargetLoad> = loads().filter { !it.isRemote && isInService(it) }

    private companion object {
        /**
         * A region that has less than this fraction of the most slots that it had within [PEAK_LIFETIME] moves its
         * requests.
         */
        const val LOST_SLOTS_FRACTION = 0.8
        val PEAK_LIFETIME = 10.seconds

        /** Bounds the expected wait if rate limits leave this VM hardly any slots. */
        const val MINIMUM_LIMITED_SLOTS = 0.1
    }
}
