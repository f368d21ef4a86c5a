package org.anvilshed.core.admission

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Weight of the newest observation, with which about 20 requests determine the estimate. */
private const val NEWEST_WEIGHT = 0.1
private val MINIMUM_RETRY_AFTER = 10.milliseconds

/** Exponentially weighted moving average of the time for which a request occupies a slot. Not thread-safe. */
internal class ServiceTimeEstimate {
    private var mean: Duration? = null

    val expected: Duration
        get() = mean ?: Duration.ZERO

    fun observe(serviceTime: Duration) {
        mean = mean?.let { it + (serviceTime - it) * NEWEST_WEIGHT } ?: serviceTime
    }

    /** Returns the estimated time until one of [slots] is free for a request with [ahead] requests before it. */
    fun waitingTime(ahead: Int, slots: Int): Duration = expected * (ahead + 1) / slots

    /** Returns the time after which a refused request may be accepted: the waiting time behind [waiting] requests. */
    fun retryAfter(waiting: Int, slots: Int): Duration =
        waitingTime(waiting, slots.coerceAtLeast(1)).coerceAtLeast(MINIMUM_RETRY_AFTER)
}
