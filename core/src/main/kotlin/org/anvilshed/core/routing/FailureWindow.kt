package org.anvilshed.core.routing

import org.anvilshed.core.MonotonicTime
import kotlin.time.Duration.Companion.seconds

private const val CONSECUTIVE_FAILURES = 5
private const val MINIMUM_REQUESTS = 10
private const val REMEMBERED_REQUESTS = 20
private val FIRST_EJECTION = 5.seconds
private val LONGEST_EJECTION = 60.seconds

/** Time after the end of an ejection from which on the next ejection has the first length again. */
private val EJECTION_RESET_TIME = 60.seconds

/** Latest request outcomes of one target and the length of its ejections. Not thread-safe; guarded by [TargetState]. */
internal class FailureWindow {
    private var outcomes = 0
    private var count = 0
    private var ejection = FIRST_EJECTION
    private var returnedAt: MonotonicTime? = null

    var consecutiveFailures = 0
        private set

    /** Whether the last five requests failed, or half of the last 10 to 20. */
    val isFailing: Boolean
        get() = consecutiveFailures >= CONSECUTIVE_FAILURES ||
            (count >= MINIMUM_REQUESTS && outcomes.countOneBits() * 2 >= count)

    fun record(failed: Boolean) {
        outcomes = ((outcomes shl 1) or (if (failed) 1 else 0)) and ((1 shl REMEMBERED_REQUESTS) - 1)
        count = (count + 1).coerceAtMost(REMEMBERED_REQUESTS)
        consecutiveFailures = if (failed) consecutiveFailures + 1 else 0
    }

    /** Returns the end of an ejection that starts at [now]; the next ejection is twice as long, up to 60 s. */
    fun eject(now: MonotonicTime): MonotonicTime {
        if (returnedAt?.let { now - it >= EJECTION_RESET_TIME } == true) ejection = FIRST_EJECTION
        val until = now + ejection
        ejection = (ejection * 2).coerceAtMost(LONGEST_EJECTION)
        returnedAt = until
        reset()
        return until
    }

    fun reset() {
        outcomes = 0
        count = 0
        consecutiveFailures = 0
    }
}
