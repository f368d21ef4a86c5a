package org.anvilshed.standins

private const val MILLISECONDS_PER_SECOND = 1000.0

/** Token bucket of calls per second with a burst of one second's calls. Used by one thread. */
internal class CallRate(private val now: () -> Long) {
    private var tokens = Double.MAX_VALUE
    private var refilledAt = now()

    /** Takes one call; [occupied] calls of [perSecond] are held by waiting watches. `null` means no limit. */
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
