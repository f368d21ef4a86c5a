package org.anvilshed.core

import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds

/**
 * Reading of a monotonic clock, which also advances while the process is stopped.
 *
 * Readings of different processes cannot be compared. Leases and deadlines are measured with this clock only.
 *
 * @property nanoseconds nanoseconds since an arbitrary origin that is fixed for the life of the process.
 */
@JvmInline
public value class MonotonicTime(public val nanoseconds: Long) : Comparable<MonotonicTime> {
    public operator fun plus(duration: Duration): MonotonicTime =
        MonotonicTime(nanoseconds + duration.inWholeNanoseconds)

    public operator fun minus(duration: Duration): MonotonicTime =
        MonotonicTime(nanoseconds - duration.inWholeNanoseconds)

    /** Returns the time elapsed from [earlier] to this reading; negative if [earlier] is later. */
    public operator fun minus(earlier: MonotonicTime): Duration = (nanoseconds - earlier.nanoseconds).nanoseconds

    override fun compareTo(other: MonotonicTime): Int = nanoseconds.compareTo(other.nanoseconds)
}
