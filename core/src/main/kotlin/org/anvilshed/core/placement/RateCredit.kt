package org.anvilshed.core.placement

import org.anvilshed.core.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.INFINITE
import kotlin.time.Duration.Companion.ZERO
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * Credit of one VM for requests to one target. It grows with the VM's part of the target's rate, also while that part
 * changes, and each request takes [REQUEST]. Not thread-safe.
 */
internal class RateCredit {
    private var credit = REQUEST
    private var updatedAt: MonotonicTime? = null

    /** Returns the time from [now] until the credit suffices for a request, if it grows by [requestsPerSecond]. */
    fun delay(requestsPerSecond: Double, now: MonotonicTime): Duration {
        if (requestsPerSecond == Double.POSITIVE_INFINITY) return ZERO
        grow(requestsPerSecond, now)
        if (requestsPerSecond == 0.0) return INFINITE
        return if (credit >= REQUEST) ZERO else 1.seconds * ((REQUEST - credit) / requestsPerSecond)
    }

    /** Takes the credit of one request, which was sent at [now]; requests sent without a limit leave no debt. */
    fun recordSent(now: MonotonicTime) {
        updatedAt = now
        credit = (credit - REQUEST).coerceAtLeast(0.0)
    }

    private fun grow(requestsPerSecond: Double, now: MonotonicTime) {
        val elapsed = updatedAt?.let { now - it } ?: ZERO
        updatedAt = now
        credit = (credit + elapsed.toDouble(DurationUnit.SECONDS) * requestsPerSecond).coerceAtMost(MAXIMUM)
    }

    private companion object {
        const val REQUEST = 1.0

        /**
         * Half a request more than the next one needs, as requests are not sent at the very moment at which the credit
         * suffices. With more, the senders of a target could send too many requests at once.
         */
        const val MAXIMUM = 1.5
    }
}
