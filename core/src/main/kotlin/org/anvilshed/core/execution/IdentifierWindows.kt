package org.anvilshed.core.execution

import org.anvilshed.core.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** State of an identifier window at its owner, which decides whether identifiers of the window are admitted. */
public enum class WindowState {
    ACCEPTED,

    /** The window is too old: its records may have been removed, so it is unknown whether its requests ran. */
    EXPIRED,

    /** The owner has not issued tokens of this window yet. */
    NOT_ISSUED,
}

/**
 * Windows in which one process issues request identifiers, numbered from [start] on its monotonic clock.
 *
 * @property start reading of the owner's clock when the process started.
 * @property length length of one window.
 * @property accepted number of windows before the current one that are still accepted.
 * @property retained number of further windows for which records are kept.
 * @throws IllegalArgumentException if [length] is not positive, or [accepted] or [retained] is negative.
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

    /** Returns the number of the window that contains [now], or 0 before [start]. */
    public fun currentWindow(now: MonotonicTime): Long =
        ((now - start).inWholeNanoseconds / length.inWholeNanoseconds).coerceAtLeast(0)

    /** Returns the state of [window] at [now]. */
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
