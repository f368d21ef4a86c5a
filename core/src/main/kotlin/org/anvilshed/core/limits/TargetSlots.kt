package org.anvilshed.core.limits

import org.anvilshed.core.MonotonicTime
import java.util.concurrent.ConcurrentSkipListSet
import java.util.concurrent.atomic.AtomicLong

/**
 * Number of owned slots and of requests in flight of one target.
 *
 * Both numbers share one atomic word, so that after [limitTo] no thread can exceed the new limit on the ground of the
 * old one, and "in flight" can be compared with the limit consistently.
 */
internal class TargetSlots {
    private data class Abandoned(val deadline: MonotonicTime, val number: Long) : Comparable<Abandoned> {
        override fun compareTo(other: Abandoned): Int = compareValuesBy(this, other, { it.deadline }, { it.number })
    }

    private val word = AtomicLong()
    private val numbers = AtomicLong()
    private val abandoned = ConcurrentSkipListSet<Abandoned>()

    val owned: Int get() = ownedIn(word.get())
    val inFlight: Int get() = inFlightIn(word.get())
    val fits: Boolean get() = word.get().let { inFlightIn(it) <= ownedIn(it) }

    /** Number of slots that may still be taken; negative if more are in flight than are owned. */
    val free: Int get() = word.get().let { ownedIn(it) - inFlightIn(it) }

    fun limitTo(owned: Int) {
        word.updateAndGet { (owned.toLong() shl OWNED_SHIFT) or inFlightIn(it).toLong() }
    }

    fun tryTake(now: MonotonicTime): Boolean {
        reclaim(now)
        while (true) {
            val current = word.get()
            if (inFlightIn(current) >= ownedIn(current)) return false
            if (word.compareAndSet(current, current + 1)) return true
        }
    }

    fun free() {
        val after = word.decrementAndGet()
        check(after >= 0 && inFlightIn(after) != IN_FLIGHT_UNDERFLOW) { "a slot was freed that was not taken" }
    }

    fun freeAt(deadline: MonotonicTime) {
        abandoned.add(Abandoned(deadline, numbers.incrementAndGet()))
    }

    /** Frees the slots of abandoned requests whose deadline has passed. */
    fun reclaim(now: MonotonicTime) {
        while (true) {
            val first = abandoned.firstOrNull()?.takeIf { it.deadline <= now } ?: return
            // Of several threads only the one that removes the entry frees its slot.
            if (abandoned.remove(first)) free()
        }
    }

    private companion object {
        const val OWNED_SHIFT = 32
        const val IN_FLIGHT_UNDERFLOW = -1

        fun ownedIn(word: Long): Int = (word ushr OWNED_SHIFT).toInt()

        fun inFlightIn(word: Long): Int = word.toInt()
    }
}
