package org.anvilshed.core.placement

import org.anvilshed.core.MonotonicTime
import org.anvilshed.core.RegionName
import org.anvilshed.core.ZoneName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.ZERO
import kotlin.time.Duration.Companion.seconds

/**
 * Slots that the targets of this VM's region offer to one service. Not thread-safe.
 *
 * @param loads all targets of the service.
 */
internal class RegionCapacity(
    private val settings: PlacementSettings,
    private val loads: () -> Collection<TargetLoad>,
) {
    private var mostSlots = 0
    private var mostSlotsAt = MonotonicTime(0)

    /** Zones whose targets get no requests. */
    var evacuated: Set<ZoneName> = emptySet()

    fun regionOf(load: TargetLoad): RegionName? = settings.regions[load.target.zone]

    fun isRemote(load: TargetLoad): Boolean = regionOf(load) != settings.region

    /** Slots in use as a share of all. */
    fun occupancy(now: MonotonicTime): Double {
        val near = nearTargets()
        val slots = near.sumOf { it.target.slots }
        return if (slots == 0) 1.0 else near.sumOf { it.load(now) } / slots
    }

    /** Whether the region lost a good part of its slots lately, so that its requests have to move at once. */
    fun lostSlots(now: MonotonicTime): Boolean {
        val present = nearTargets().sumOf { it.target.slots }
        if (present >= mostSlots || now - mostSlotsAt >= SLOTS_MEMORY) {
            mostSlots = present
            mostSlotsAt = now
        }
        return present < mostSlots * LOST_SLOTS_SHARE
    }

    /**
     * Time in which slots become free for [waiting] requests of this VM that take [averageWork] each.
     *
     * The slots that the VM's own requests take, in any region, show its share of all slots; while some are free in the
     * own region, they add to that share.
     */
    fun queueWait(waiting: Int, averageWork: Duration, now: MonotonicTime): Duration {
        if (waiting == 0) return ZERO
        return averageWork * (waiting / loads().sumOf { ownSlots(it, now) }.coerceAtLeast(1.0))
    }

    /** Slots of the target of [load] that this VM's requests get: its share of those taken, and near ones that idle. */
    private fun ownSlots(load: TargetLoad, now: MonotonicTime): Double {
        val slots = load.target.slots.toDouble()
        val taken = load.load(now)
        val own = load.occupiedSlots * slots / maxOf(taken, slots)
        return if (isNearUsable(load)) own + (slots - taken).coerceAtLeast(0.0) else own
    }

    private fun nearTargets(): List<TargetLoad> = loads().filter(::isNearUsable)

    private fun isNearUsable(load: TargetLoad): Boolean =
        !isRemote(load) && !load.target.draining && load.target.zone !in evacuated

    private companion object {
        /** A region that keeps less than this share of the slots that it had within this time moves its requests. */
        const val LOST_SLOTS_SHARE = 0.8
        val SLOTS_MEMORY = 10.seconds
    }
}
