package org.anvilshed.core.limits

import org.anvilshed.core.MonotonicTime
import java.util.concurrent.atomic.AtomicLong
import java.util.concurrent.atomic.AtomicReference
import java.util.concurrent.atomic.AtomicReferenceArray
import kotlin.time.Duration

/**
 * Cap of the requests of one service that this VM serves outside the region in which they entered.
 *
 * At each moved request, moved requests make up at most the cap of all requests of the window that ends then, including
 * this one. The window is counted in sub-windows: a sub-window that lies only partly in the window counts with its
 * moved requests and not with its total. Each request is reported once, by [recordServedInRegion] or by a successful
 * [tryMove].
 * All methods may be called by any thread and take no lock.
 *
 * @param cap largest fraction of moved requests, from 0 to 1.
 * @param window length of the sliding window.
 */
public class ShiftCapLimiter(cap: Double, window: Duration) {
    private class SubWindow(val number: Long) {
        /** Number of moved requests in the upper and of all requests in the lower 32 bits. */
        val counts = AtomicLong()
    }

    private class State(
        val cap: Double,
        val window: Duration,
        val ring: AtomicReferenceArray<SubWindow>,
        val from: Long,
    ) {
        val subWindowNanoseconds: Long = (window.inWholeNanoseconds / SUB_WINDOWS).coerceAtLeast(1)

        fun numberAt(now: MonotonicTime): Long = Math.floorDiv(now.nanoseconds, subWindowNanoseconds)
    }

    private val state = AtomicReference(State(cap, window, newRing(), Long.MIN_VALUE))

    /**
     * Takes over a new cap or window at [now].
     *
     * The counts of another window length are of no use, so after such a change no request is moved for one new window.
     */
    public fun change(cap: Double, window: Duration, now: MonotonicTime) {
        state.updateAndGet { old ->
            if (window == old.window) {
                State(cap, window, old.ring, old.from)
            } else {
                State(cap, window, newRing(), (now + window).nanoseconds)
            }
        }
    }

    /** Records at [now] a request that was served in its region or refused there. */
    public fun recordServedInRegion(now: MonotonicTime) {
        val current = state.get()
        current.subWindowOrNull(current.numberAt(now))?.counts?.incrementAndGet()
    }

    /** Records at [now] a request to be moved, if the cap allows it; otherwise records nothing and returns `false`. */
    public fun tryMove(now: MonotonicTime): Boolean {
        val current = state.get()
        val number = current.numberAt(now)
        val subWindow = current.subWindowOrNull(number)
        if (subWindow == null || now.nanoseconds < current.from) return false
        // Counting before the check lets concurrent moves see each other: both may be refused, but never both exceed.
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
            val present = ring[index]
            if (present != null && present.number >= number) return present.takeIf { it.number == number }
            val created = SubWindow(number)
            if (ring.compareAndSet(index, present, created)) return created
        }
    }

    private companion object {
        const val SUB_WINDOWS = 16
        const val MOVED_SHIFT = 32
        const val MOVED_UNIT = 1L shl MOVED_SHIFT
        const val TOTAL_MASK = MOVED_UNIT - 1

        /** The whole sub-windows of a window, the oldest one that is partly in it, and the newest one. */
        const val RING_LENGTH = SUB_WINDOWS + 1

        fun newRing() = AtomicReferenceArray<SubWindow>(RING_LENGTH)

        fun indexOf(number: Long): Int = Math.floorMod(number, RING_LENGTH.toLong()).toInt()
    }
}
