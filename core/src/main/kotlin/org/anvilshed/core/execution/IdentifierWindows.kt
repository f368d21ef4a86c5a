package org.anvilshed.core.execution

import org.anvilshed.core.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Whether the owner still admits identifiers of a window. */
public enum class WindowState {
    ACCEPTED,

    /** The window is too old; its records may have been removed, so nothing can be said about its requests. */
    EXPIRED,

    /** The owner has not issued tokens of this window yet. */
    NOT_ISSUED,
}

/**
 * Windows in which one process issues request identifiers, numbered from [start] on its monotonic clock.
 *
 * @property start reading of the owner's clock at its start.
 * @property length length of one window.
 * @property accepted number of windows before the current one that are still accepted.
 * @property retained number of further windows for which records are kept.
 */
public class IdentifierWindows(
    public val start: MonotonicTime,
    public val length: Duration = 60.seconds,
    public val accepted: Int = 4,
    public val retained: Int = 1,
) {
    init {
        require(length.isPositive()) { "window length $length is not positive" }
        require(accepted >= 0 && retained >= 0) { "accepted $accepted and retained $retained must not be negative" }
    }

    /** Returns the number of the window in which [now] lies; 0 before [start]. */
    public fun currentWindow(now: MonotonicTime): Long =
        ((now - start).inWholeNanoseconds / length.inWholeNanoseconds).coerceAtLeast(0)

    /** Returns whether identifiers of [window] are accepted at [now]. */
    public fun stateOf(window: Long, now: MonotonicTime): WindowState {
        val current = currentWindow(now)
        return when {
            window > current -> WindowState.NOT_ISSUED
            window < current - accepted -> WindowState.EXPIRED
            else -> WindowState.ACCEPTED
        }
    }

    /** Returns the oldest window whose records are kept at [now]. */
    public fun oldestRetainedWindow(now: MonotonicTime): Long = currentWindow(now) - accepted - retained
}
