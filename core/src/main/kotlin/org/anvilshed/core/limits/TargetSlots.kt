package org.anvilshed.core.limits

import org.anvilshed.core.MonotonicTime
import java.util.concurrent.ConcurrentSkipListSet
import java.util.concurrent.atomic.AtomicLong

/**
 * Number of owned slots of one target and of the requests in flight that occupy them. Thread-safe and lock-free.
 *
 * Both numbers are packed into one atomic word, so that after [limitTo] no thread can exceed the new limit by a check
 * against the old one, and the number in flight is always compared with the limit of the same moment.
 */
internal class TargetSlots {
    private data class AbandonedRequest(val deadline: MonotonicTime, val sequence: Long) :
        Comparable<AbandonedRequest> {
        override fun compareTo(other: AbandonedRequest): Int =
            compareValuesBy(this, other, { it.deadline }, { it.sequence })
    }

    private val word = AtomicLong()
    private val lastSequence = AtomicLong()
    private val abandoned = ConcurrentSkipListSet<AbandonedRequest>()

    val owned: Int get() = ownedIn(word.get())
    val inFlight: Int get() = inFlightIn(word.get())

    /** Whether the requests in flight occupy no more slots than are owned. */
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
        check(after >= 0 && inFlightIn(after) != IN_FLIGHT_UNDERFLOW) { "a slot was freed that had not been taken" }
    }

    fun freeAt(deadline: MonotonicTime) {
        abandoned.add(AbandonedRequest(deadline, lastSequence.incrementAndGet()))
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
