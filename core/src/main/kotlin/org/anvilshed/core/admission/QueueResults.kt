package org.anvilshed.core.admission

import org.anvilshed.core.RefusalReason
import kotlin.time.Duration

/**
 * A request that left the queue without being dispatched; the caller has to answer that it was not run, with [reason].
 *
 * @property retryAfter estimated time after which the queue may accept the request.
 */
public data class RemovedRequest<out T : Any>(
    public val ticket: QueueTicket<T>,
    public val reason: RefusalReason,
    public val retryAfter: Duration,
)

/** Result of [AdmissionQueue.offer]. */
public sealed interface OfferResult<out T : Any> {
    /** Requests that left the queue in this call: their deadline had passed, or the offered request replaced them. */
    public val removed: List<RemovedRequest<T>>

    /** The request waits until [AdmissionQueue.poll] or [AdmissionQueue.cancel], or ends as a [RemovedRequest]. */
    public data class Queued<out T : Any>(
        public val ticket: QueueTicket<T>,
        override val removed: List<RemovedRequest<T>>,
    ) : OfferResult<T>

    /**
     * The request was not queued and was not run.
     *
     * @property retryAfter estimated time after which the queue may accept the request.
     */
    public data class Refused<out T : Any>(
        public val reason: RefusalReason,
        public val retryAfter: Duration,
        override val removed: List<RemovedRequest<T>>,
    ) : OfferResult<T>
}

/**
 * Result of [AdmissionQueue.poll].
 *
 * @property next request to be dispatched now, or `null` if no request waits.
 * @property removed requests whose deadline had passed.
 */
public data class PollResult<out T : Any>(
    public val next: QueueTicket<T>?,
    public val removed: List<RemovedRequest<T>>,
)
