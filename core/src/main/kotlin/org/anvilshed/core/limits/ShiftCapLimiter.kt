package org.anvilshed.core.limits

import org.anvilshed.core.MonotonicTime
import java.util.concurrent.atomic.AtomicLong
import java.util.concurrent.atomic.AtomicReference
import java.util.concurrent.atomic.AtomicReferenceArray
import kotlin.time.Duration

/**
 * Caps the fraction of the requests of one service that this VM moves out of the region in which they entered.
 *
 * Whenever a request is moved, the moved requests, including this one, are at most the cap times all requests of the
 * sliding window that ends at that time. The window is divided into sub-windows. A sub-window that lies only partly in
 * the window contributes its moved requests but not its total, so the division never lets the cap be exceeded. Each
 * request is recorded once, by [recordServedInRegion] or by a successful [tryMove]. Thread-safe and lock-free.
 *
 * @param cap largest fraction of moved requests, from 0 to 1.
 * @param window length of the sliding window.
 */
public class ShiftCapLimiter(cap: Double, window: Duration) {
    private class SubWindow(val number: Long) {
        /** The number of moved requests in the upper 32 bits and the number of all requests in the lower 32 bits. */
        val counts = AtomicLong()
    }

    private class State(
        val cap: Double,
        val window: Duration,
        val ring: AtomicReferenceArray<SubWindow>,
        val movesFromNanoseconds: Long,
    ) {
        val subWindowNanoseconds: Long = (window.inWholeNanoseconds / SUB_WINDOWS).coerceAtLeast(1)

        fun numberAt(now: MonotonicTime): Long = Math.floorDiv(now.nanoseconds, subWindowNanoseconds)
    }

    private val state = AtomicReference(State(cap, window, newRing(), Long.MIN_VALUE))

    /**
     * Applies a new cap or window at [now].
     *
     * The counts of sub-windows of another length cannot be reused, so after a change of the window no request is moved
     * for the length of the new window.
     */
    public fun change(cap: Double, window: Duration, now: MonotonicTime) {
        state.updateAndGet { old ->
            if (window == old.window) {
                State(cap, window, old.ring, old.movesFromNanoseconds)
            } else {
                State(cap, window, newRing(), (now + window).nanoseconds)
            }
        }
    }

    /** Records at [now] a request that was served or refused in the region in which it entered. */
    public fun recordServedInRegion(now: MonotonicTime) {
        val current = state.get()
        current.subWindowOrNull(current.numberAt(now))?.counts?.incrementAndGet()
    }

    /** Records one moved request at [now] and returns `true` if the cap allows it; otherwise records nothing. */
    public fun tryMove(now: MonotonicTime): Boolean {
        val current = state.get()
        val number = current.numberAt(now)
        val subWindow = current.subWindowOrNull(number)
        if (subWindow == null || now.nanoseconds < current.movesFromNanoseconds) return false
        // Counting before the check makes concurrent moves visible to each other: all of them may be refused, but
        // together they never exceed the cap.
        subWindow.counts.addAndGet(MOVED_UNIT + 1)
        if (current.isWithinCap(number) && current.ring[indexOf(number)] === subWindow) return true
        subWindow.counts.addAndGet(-(MOVED_UNIT + 1))
        return false
    }

    private fun State.isWithinCap(number: Long): Boolean {
        var moved = 0L
        var total = 0L
        for (index in 0 until ring.length()) {
            val subWindow = ring[index] ?: continue
            val age = number - subWindow.number
            val counts = subWindow.counts.get()
            if (age <= SUB_WINDOWS) moved += counts ushr MOVED_SHIFT
            if (age in 0 until SUB_WINDOWS) total += counts and TOTAL_MASK
        }
        return moved <= cap * total
    }

    /** Returns the sub-window [number], or `null` if the ring has already advanced beyond it. */
    private fun State.subWindowOrNull(number: Long): SubWindow? {
        val index = indexOf(number)
        while (true) {
            val existing = ring[index]
            if (existing != null && existing.number >= number) return existing.takeIf { it.number == number }
            val created = SubWindow(number)
            if (ring.compareAndSet(index, existing, created)) return created
        }
    }

    private companion object {
        const val SUB_WINDOWS = 16
        const val MOVED_SHIFT = 32
        const val MOVED_UNIT = 1L shl MOVED_SHIFT
        const val TOTAL_MASK = MOVED_UNIT - 1

        /**
         * Number of sub-windows that a window overlaps: the whole ones, the oldest one, which lies partly in the
         * window, and the newest one.
         */
        const val RING_LENGTH = SUB_WINDOWS + 1

        fun newRing() = AtomicReferenceArray<SubWindow>(RING_LENGTH)

        fun indexOf(number: Long): Int = Math.floorMod(number, RING_LENGTH.toLong()).toInt()
    }
}
