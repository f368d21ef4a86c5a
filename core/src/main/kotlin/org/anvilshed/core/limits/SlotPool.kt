package org.anvilshed.core.limits

import org.anvilshed.core.MonotonicTime
import org.anvilshed.core.TargetName
import org.anvilshed.core.bundle.Target
import org.anvilshed.core.seats.AppliedShares
import org.anvilshed.core.seats.ShareHolder
import org.anvilshed.core.seats.ShareSet
import org.anvilshed.core.seats.UsableShares
import java.util.concurrent.atomic.AtomicReference

/**
 * Slots of the targets of one zone that this VM owns through its seats, and the requests in flight on them.
 *
 * [update] is called by one coroutine; all other methods may be called by any thread and take no lock.
 *
 * @param rights present right to use the seats of the zone: [ShareHolder.usable].
 */
public class SlotPool(private val rights: () -> UsableShares) {
    private class Entry(val slots: TargetSlots, val connections: Int)

    private val entries = AtomicReference<Map<TargetName, Entry>>(emptyMap())

    /**
     * Applies [targets] and [use]; no slot beyond the new limits is taken from then on.
     *
     * A target that is no longer listed is kept with no slots until its last request has ended.
     *
     * @param use result of [ShareHolder.refresh].
     * @return the report for [ShareHolder.next].
     */
    public fun update(targets: Collection<Target>, use: UsableShares, now: MonotonicTime): AppliedShares {
        val old = entries.get()
        val listed = targets.associate { target ->
            val slots = old[target.name]?.slots ?: TargetSlots()
            slots.limitTo(ownedSlots(target.name, target.slots, use.shares))
            target.name to Entry(slots, (target.connections * use.shares.fraction).toInt())
        }
        // With the limit at zero, a thread that still reads the old map cannot take a slot of a dropped target.
        val dropped = old.filterKeys { it !in listed }.onEach { it.value.slots.limitTo(0) }
        entries.set(listed + dropped.filterValues { it.slots.inFlight > 0 }.mapValues { Entry(it.value.slots, 0) })
        entries.get().values.forEach { it.slots.reclaim(now) }
        return AppliedShares(use, entries.get().values.all { it.slots.fits })
    }

    /**
     * Takes a slot of [target] at [now], or returns `null` if this VM owns none, none is free or its right has ended.
     *
     * To be called with a fresh clock reading immediately before the request is sent; the remaining deadline sent to
     * the target must not exceed [UsableShares.longestDeadline].
     */
    public fun acquireOrNull(target: TargetName, now: MonotonicTime): Slot? {
        if (!rights().isValidAt(now)) return null
        val slots = entries.get()[target]?.slots ?: return null
        return if (slots.tryTake(now)) Slot(target, slots) else null
    }

    /** Returns how many slots of [target] this VM owns. */
    public fun owned(target: TargetName): Int = entries.get()[target]?.slots?.owned ?: 0

    /** Returns how many requests of this VM occupy a slot of [target]. */
    public fun inFlight(target: TargetName): Int = entries.get()[target]?.slots?.inFlight ?: 0

    /** Returns how many slots of [target] can be taken at [now]. */
    public fun free(target: TargetName, now: MonotonicTime): Int =
        if (rights().isValidAt(now)) entries.get()[target]?.slots?.free?.coerceAtLeast(0) ?: 0 else 0

    /** Returns how many connections to [target] this VM may have open. */
    public fun connections(target: TargetName): Int = entries.get()[target]?.connections ?: 0
}

/**
 * Returns how many of the [slots] slots of [target] belong to the owner of [seats].
 *
 * The places of the slots depend only on the target's name and the number of the slot, in bit-reversed order, so that
 * they are evenly spread and so that VMs with different bundles in force never give the same slot to two owners.
 */
public fun ownedSlots(target: TargetName, slots: Int, seats: ShareSet): Int {
    val offset = spreadHash(target.value)
    return (0 until slots).count { slot ->
        seats.containsPosition((offset + Integer.reverse(slot)).toLong() and POSITION_MASK)
    }
}

private const val POSITION_MASK = 0xFFFF_FFFFL

/** Finalizer of MurmurHash3 over [String.hashCode], as the latter is close for similar names. */
private fun spreadHash(text: String): Int {
    var hash = text.hashCode()
    hash = (hash xor (hash ushr 16)) * -0x7A143595
    hash = (hash xor (hash ushr 13)) * -0x3D4D51CB
    return hash xor (hash ushr 16)
}
