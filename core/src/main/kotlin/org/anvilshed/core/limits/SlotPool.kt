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
 * Slots of the targets of one zone that this VM owns through its shares, and the requests in flight on them.
 *
 * [update] is called by one coroutine; all other methods are thread-safe and lock-free.
 *
 * @param rights returns the current right to use the shares of the zone: [ShareHolder.usable].
 */
public class SlotPool(private val rights: () -> UsableShares) {
    private class Entry(val slots: TargetSlots, val connections: Int)

    private val entries = AtomicReference<Map<TargetName, Entry>>(emptyMap())

    /**
     * Applies [targets] and [use]; after the call no slot beyond the new limits is taken.
     *
     * A target that is no longer listed stays in the pool without owned slots until its last request has ended.
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
        // With a limit of zero, a thread that still reads the old map cannot take a slot of a dropped target.
        val dropped = old.filterKeys { it !in listed }.onEach { it.value.slots.limitTo(0) }
        entries.set(listed + dropped.filterValues { it.slots.inFlight > 0 }.mapValues { Entry(it.value.slots, 0) })
        entries.get().values.forEach { it.slots.reclaim(now) }
        return AppliedShares(use, entries.get().values.all { it.slots.fits })
    }

    /**
     * Takes a slot of [target] at [now], or returns `null` if this VM owns no slot of it, no owned slot is free, or the
     * right to use the shares has expired.
     *
     * Call it with a fresh clock reading immediately before the request is sent. The remaining deadline sent to the
     * target must not exceed [UsableShares.longestDeadline].
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
 * Returns how many of the [slots] slots of [target] belong to the owner of [shares].
 *
 * The position of a slot depends only on the name of the target and the number of the slot, so VMs with different
 * bundles in force never assign the same slot to two owners. The number is bit-reversed, which spreads the positions
 * evenly.
 */
public fun ownedSlots(target: TargetName, slots: Int, shares: ShareSet): Int {
    val offset = spreadHash(target.value)
    return (0 until slots).count { slot ->
        shares.containsPosition((offset + Integer.reverse(slot)).toLong() and POSITION_MASK)
    }
}

private const val POSITION_MASK = 0xFFFF_FFFFL

/** Applies the finalizer of MurmurHash3 to [String.hashCode], whose values are close for similar names. */
private fun spreadHash(text: String): Int {
    var hash = text.hashCode()
    hash = (hash xor (hash ushr 16)) * -0x7A143595
    hash = (hash xor (hash ushr 13)) * -0x3D4D51CB
    return hash xor (hash ushr 16)
}
