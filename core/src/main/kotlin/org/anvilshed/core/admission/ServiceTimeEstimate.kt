package org.anvilshed.core.admission

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Weight of the newest observation; about 20 requests determine the estimate. */
private const val NEWEST_WEIGHT = 0.1
private val MINIMUM_HINT = 10.milliseconds

/** Exponentially weighted mean of the time for which a request occupies a slot. Not thread-safe. */
internal class ServiceTimeEstimate {
    private var mean: Duration? = null

    val expected: Duration
        get() = mean ?: Duration.ZERO

    fun observe(serviceTime: Duration) {
        mean = mean?.let { it + (serviceTime - it) * NEWEST_WEIGHT } ?: serviceTime
    }

    /** Returns the estimated time until a slot is free for a request that has [ahead] requests before it. */
    fun waitBehind(ahead: Int, slots: Int): Duration = expected * (ahead + 1) / slots

    /** Returns the time after which a refused request may find a place: the wait behind [waiting] requests. */
    fun retryHint(waiting: Int, slots: Int): Duration =
        waitBehind(waiting, slots.coerceAtLeast(1)).coerceAtLeast(MINIMUM_HINT)
}
