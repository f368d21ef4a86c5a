package org.anvilshed.core.fleet

import org.anvilshed.core.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * When the store responded, and whether registrations of live targets may have expired while it did not.
 *
 * A registration expires only if its target could not renew it several times in a row. A VM whose own connections broke
 * for a moment must not take the removals of that time for expired registrations. Not thread-safe.
 *
 * @param reportPeriod returns the interval at which targets renew their registrations.
 */
public class StoreContact(private val reportPeriod: () -> Duration) {
    private var latestResponse: MonotonicTime? = null
    private var isLost = false

    /** When the store responded again after an outage in which registrations may have expired. */
    private var returnedAt: MonotonicTime? = null

    /** Time of the latest response that this VM got itself; `null` before the first one. */
    public var latestOwnResponse: MonotonicTime? = null
        private set

    /** Records that the store responded to this VM at [now]. */
    public fun recordResponse(now: MonotonicTime) {
        recordEvidence(now)
        latestOwnResponse = now
        isLost = false
    }

    /** Records that the store responded to another VM at [at]. */
    public fun recordResponseToPeer(at: MonotonicTime): Unit = recordEvidence(at)

    /**
     * Records that a call of this VM failed at [now].
     *
     * @param isSilent whether the call got no response within its time, so that the outage may have begun long before.
     *   A call that ends with an error shows that the store was there until then.
     */
    public fun recordFailure(isSilent: Boolean, now: MonotonicTime) {
        if (!isLost && !isSilent) recordEvidence(now)
        isLost = true
    }

    /** Records that the store was found at [now] to be restored from an older copy, which may lack registrations. */
    public fun recordRestored(now: MonotonicTime) {
        returnedAt = now
    }

    /**
     * Returns until when the target of a registration that is missing at [now] may be alive and register again, or
     * `null` if the registration can't have expired because of an outage.
     */
    public fun mayReturnUntilOrNull(now: MonotonicTime): MonotonicTime? {
        val isOutage = isLost && latestResponse?.let { now - it >= shortestExpiry() } ?: true
        return if (isOutage) now + RETURN_TIME else returnedAt?.let { it + RETURN_TIME }?.takeIf { it > now }
    }

    /**
     * Returns whether a registration may have expired because of an outage if its removal is heard of at [now].
     *
     * The removal may be heard of later than the target had to register again, if this VM reaches the store later.
     */
    public fun mayHaveExpired(now: MonotonicTime): Boolean =
        mayReturnUntilOrNull(now) != null || returnedAt?.let { now - it < NEWS_TIME } == true

    private fun recordEvidence(at: MonotonicTime) {
        val latest = latestResponse
        if (latest != null && at <= latest) return
        if (isLost && (latest == null || at - latest >= shortestExpiry())) returnedAt = at
        latestResponse = at
    }

    /** A target may have renewed its registration one period before the outage, and try again one period after it. */
    private fun shortestExpiry(): Duration = reportPeriod() * (EXPIRY_PERIODS - 2)

    public companion object {
        /** Periods without a renewal after which a registration expires. */
        private const val EXPIRY_PERIODS = 3

        /**
         * Live targets register again within 2 s after the store is reachable again; the rest is the time that the
         * event takes to arrive.
         */
        public val RETURN_TIME: Duration = 2.seconds + 200.milliseconds

        /** A VM calls the store again within a second after a failure, and a call without a response ends after 2 s. */
        private val NEWS_TIME = 5.seconds
    }
}
