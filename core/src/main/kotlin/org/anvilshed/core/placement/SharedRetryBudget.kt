package org.anvilshed.core.placement

import org.anvilshed.core.MonotonicTime
import kotlin.time.Duration

/**
 * Repeats of one service that this VM may send, as its share of a budget of all VMs.
 *
 * In each window the repeats stay within `ratio * requests + slack / members`; both figures are reduced to
 * [SAFETY_SHARE], since VMs that died or joined a moment ago are counted late. Not thread-safe.
 *
 * @param ratio repeats allowed for each request of this VM.
 * @param slack repeats allowed for all VMs together beside [ratio].
 */
public class SharedRetryBudget(private val ratio: Double, private val slack: Double, window: Duration) {
    private val requests = WindowCounter(window)
    private val repeats = WindowCounter(window)

    /** Records a request of a caller. */
    public fun recordRequest(now: MonotonicTime): Unit = requests.add(now)

    /** Takes one repeat at [now] if the share of one of [members] VMs allows it. */
    public fun tryRetry(members: Int, now: MonotonicTime): Boolean {
        val allowed = SAFETY_SHARE * (ratio * requests.count(now) + slack / members.coerceAtLeast(1))
        if (repeats.count(now) + 1 > allowed) return false
        repeats.add(now)
        return true
    }

    private companion object {
        const val SAFETY_SHARE = 0.8
    }
}
