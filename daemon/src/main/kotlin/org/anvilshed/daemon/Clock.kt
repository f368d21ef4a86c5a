package org.anvilshed.daemon

import org.anvilshed.core.MonotonicTime
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/** Clocks of the process. */
internal interface DaemonClock {
    /** Returns a fresh reading of the monotonic clock, which advances also while the process is stopped. */
    fun now(): MonotonicTime

    /** Returns the wall clock time, which is used for scheduled times and for display only. */
    fun wallNow(): Instant
}

/** Clocks of the system. */
internal object SystemClock : DaemonClock {
    override fun now(): MonotonicTime = MonotonicTime(System.nanoTime())

    override fun wallNow(): Instant = Clock.System.now()
}

/** Returns the time from now to [deadline]; zero if it has passed. */
internal fun DaemonClock.remaining(deadline: MonotonicTime): Duration = (deadline - now()).coerceAtLeast(Duration.ZERO)

/** Returns the duration in whole milliseconds, at least 1, as timers and deadlines of targets require. */
internal fun Duration.toTimerMilliseconds(): Long = inWholeMilliseconds.coerceAtLeast(1)

/** Period of the periodic tasks of the control thread. */
internal val CONTROL_TICK: Duration = 100.milliseconds
