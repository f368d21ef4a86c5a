package org.anvilshed.core.admission

import org.anvilshed.core.MonotonicTime
import org.anvilshed.core.RefusalReason
import java.util.TreeSet
import kotlin.time.Duration

private const val MINIMUM_CAPACITY = 8
private const val REQUESTS_PER_SLOT = 2

private val SERVING_ORDER: Comparator<QueueTicket<*>> =
    compareByDescending<QueueTicket<*>> { it.worth }
        .thenBy { it.deadline.nanoseconds }
        .thenBy { it.sequence }

/**
 * Bounded queue of one service for requests that found no free slot.
 *
 * Requests leave in order of worth, then of deadline. Every queued request ends in exactly one way: returned by [poll],
 * returned as removed, or cancelled. Thread-safe: each method holds one lock for time proportional to the queue's
 * length, which is a few dozen, and calls no foreign code, so it may be called from an event loop.
 *
 * @property configuredCapacity largest length, or `null` for twice the slots and at least 8.
 */
public class AdmissionQueue<T : Any>(private val configuredCapacity: Int? = null) {
    private val lock = Any()
    private val waiting = TreeSet<QueueTicket<T>>(SERVING_ORDER)
    private val serviceTime = ServiceTimeEstimate()
    private var slots = 0
    private var nextSequence = 0L

    init {
        require(configuredCapacity == null || configuredCapacity > 0) { "capacity $configuredCapacity is not positive" }
    }

    /** Number of waiting requests. */
    public val size: Int
        get() = synchronized(lock) { waiting.size }

    /** Largest number of waiting requests with the present slots. */
    public val capacity: Int
        get() = synchronized(lock) { currentCapacity() }

    /** Sets the number of slots that this VM owns for the service; waiting requests over the capacity stay. */
    public fun resize(slots: Int) {
        require(slots >= 0) { "$slots slots" }
        synchronized(lock) { this.slots = slots }
    }

    /** Records that a request occupied a slot for [serviceTime]. */
    public fun recordServed(serviceTime: Duration) {
        synchronized(lock) { this.serviceTime.observe(serviceTime) }
    }

    /** Queues [request], or refuses it if there is no place or the wait leaves too little time before [deadline]. */
    public fun offer(request: T, worth: Double, deadline: MonotonicTime, now: MonotonicTime): OfferResult<T> =
        synchronized(lock) {
            val removed = removeExpired(now)
            val ticket = QueueTicket(request, worth, deadline, now, nextSequence++)
            val reason = refusalOf(ticket, now)
            if (reason != null) {
                OfferResult.Refused(reason, serviceTime.retryHint(waiting.size, slots), removed)
            } else {
                val replaced = if (waiting.size >= currentCapacity()) listOf(replaceLast()) else emptyList()
                waiting += ticket
                OfferResult.Queued(ticket, removed + replaced)
            }
        }

    /** Takes out the next request, which now has to be dispatched or answered. Call it when a slot is free. */
    public fun poll(now: MonotonicTime): PollResult<T> = synchronized(lock) {
        val removed = removeExpired(now)
        PollResult(waiting.pollFirst(), removed)
    }

    /**
     * Puts back a request that [poll] returned and for which no place was found after all. It takes its former place,
     * even if the queue is full by now, and so the queue is longer by at most the number of concurrent polls.
     */
    public fun putBack(ticket: QueueTicket<T>) {
        synchronized(lock) { waiting += ticket }
    }

    /** Takes out the requests whose deadline has passed; call it by timer, since [poll] depends on free slots. */
    public fun expire(now: MonotonicTime): List<RemovedRequest<T>> = synchronized(lock) { removeExpired(now) }

    /** Takes out [ticket]. Returns `false` if it has left the queue already, and then somebody else answers it. */
    public fun cancel(ticket: QueueTicket<T>): Boolean = synchronized(lock) { waiting.remove(ticket) }

    private fun currentCapacity(): Int =
        configuredCapacity ?: (slots * REQUESTS_PER_SLOT).coerceAtLeast(MINIMUM_CAPACITY)

    private fun refusalOf(ticket: QueueTicket<T>, now: MonotonicTime): RefusalReason? {
        if (ticket.deadline <= now) return RefusalReason.DEADLINE_PASSED
        if (slots == 0) return RefusalReason.NO_SEAT
        val ahead = waiting.headSet(ticket).size
        val served = now + serviceTime.waitBehind(ahead, slots) + serviceTime.expected
        return when {
            served > ticket.deadline -> RefusalReason.DEADLINE_TOO_SHORT
            waiting.size >= currentCapacity() && waiting.last().worth >= ticket.worth -> RefusalReason.QUEUE_FULL
            else -> null
        }
    }

    private fun replaceLast(): RemovedRequest<T> {
        val last = checkNotNull(waiting.pollLast()) { "a full queue is empty" }
        return RemovedRequest(last, RefusalReason.QUEUE_FULL, serviceTime.retryHint(waiting.size, slots))
    }

    private fun removeExpired(now: MonotonicTime): List<RemovedRequest<T>> {
        var removed: MutableList<RemovedRequest<T>>? = null
        val iterator = waiting.iterator()
        while (iterator.hasNext()) {
            val ticket = iterator.next()
            if (ticket.deadline > now) continue
            iterator.remove()
            val list = removed ?: mutableListOf<RemovedRequest<T>>().also { removed = it }
            list += RemovedRequest(ticket, RefusalReason.DEADLINE_PASSED, serviceTime.retryHint(waiting.size, slots))
        }
        return removed ?: emptyList()
    }
}
