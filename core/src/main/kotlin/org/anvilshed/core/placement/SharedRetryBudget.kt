package org.anvilshed.core.placement

import org.anvilshed.core.MonotonicTime
import kotlin.time.Duration

/**
 * Retries of one service that this VM may send as its part of a budget that all VMs share.
 *
 * In each window the retries stay within `ratio * requests + slack / members`. The sum is multiplied by
 * [SAFETY_FACTOR], since VMs that failed or joined a moment ago are counted late. Not thread-safe.
 *
 * @param ratio retries allowed for each request of this VM.
 * @param slack retries allowed in a window for all VMs together in addition to [ratio].
 * @param window length of the sliding window.
 */
public class SharedRetryBudget(private val ratio: () -> Double, private val slack: () -> Double, window: Duration) {
    private val requests = SlidingWindowCounter(window)
    private val retries = SlidingWindowCounter(window)

    /** Records a caller's request at [now]; retries of this VM are not recorded here. */
    public fun recordRequest(now: MonotonicTime): Unit = requests.add(now)

    /** Takes one retry at [now] if the part of one of [members] VMs allows it; returns whether it does. */
    public fun tryRetry(members: Int, now: MonotonicTime): Boolean {
        val allowed = SAFETY_FACTOR * (ratio() * requests.count(now) + slack() / members.coerceAtLeast(1))
        if (retries.count(now) + 1 > allowed) return false
        retries.add(now)
        return true
    }

    private companion object {
        const val SAFETY_FACTOR = 0.8
    }
}
