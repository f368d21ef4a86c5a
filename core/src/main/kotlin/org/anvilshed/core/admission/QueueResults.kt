package org.anvilshed.core.admission

import org.anvilshed.core.RefusalReason
import kotlin.time.Duration

/** A request that left the queue without being served and has to be answered as not run with [reason]. */
public data class RemovedRequest<out T : Any>(
    public val ticket: QueueTicket<T>,
    public val reason: RefusalReason,
    public val retryAfter: Duration,
)

/** Result of [AdmissionQueue.offer]. */
public sealed interface OfferResult<out T : Any> {
    /** Requests that left the queue because of this call: their deadline passed, or this request replaced them. */
    public val removed: List<RemovedRequest<T>>

    /** The request waits; it ends by [AdmissionQueue.poll], [AdmissionQueue.cancel] or as a [RemovedRequest]. */
    public data class Queued<out T : Any>(
        public val ticket: QueueTicket<T>,
        override val removed: List<RemovedRequest<T>>,
    ) : OfferResult<T>

    /** The request was not queued and did not run. */
    public data class Refused<out T : Any>(
        public val reason: RefusalReason,
        public val retryAfter: Duration,
        override val removed: List<RemovedRequest<T>>,
    ) : OfferResult<T>
}

/**
 * Result of [AdmissionQueue.poll].
 *
 * @property next request to be served now, or `null` if none waits.
 * @property removed requests whose deadline had passed.
 */
public data class PollResult<out T : Any>(
    public val next: QueueTicket<T>?,
    public val removed: List<RemovedRequest<T>>,
)
