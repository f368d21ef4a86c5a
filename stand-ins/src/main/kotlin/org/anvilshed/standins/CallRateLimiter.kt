package org.anvilshed.standins

private const val MILLISECONDS_PER_SECOND = 1000.0

/**
 * Token bucket that limits calls per second; its capacity is the number of calls in one second. Not thread-safe.
 *
 * @param now returns the present time in milliseconds.
 */
internal class CallRateLimiter(private val now: () -> Long) {
    private var tokens = Double.MAX_VALUE
    private var refilledAt = now()

    /**
     * Takes the token of one call and returns whether there was one.
     *
     * @param perSecond limit of calls per second, or `null` for no limit.
     * @param occupied number of calls per second that waiting watches use up.
     */
    fun tryTake(perSecond: Double?, occupied: Int = 0): Boolean {
        if (perSecond == null) return true
        val time = now()
        val rate = (perSecond - occupied).coerceAtLeast(0.0)
        tokens = (tokens + (time - refilledAt) / MILLISECONDS_PER_SECOND * rate).coerceAtMost(perSecond)
        refilledAt = time
        if (tokens < 1) return false
        tokens -= 1
        return true
    }
}
