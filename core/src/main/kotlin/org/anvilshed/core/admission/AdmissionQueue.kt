package org.anvilshed.core.admission

import org.anvilshed.core.MonotonicTime
import org.anvilshed.core.RefusalReason
import java.util.TreeSet
import kotlin.time.Duration

private const val MINIMUM_CAPACITY = 8
private const val REQUESTS_PER_SLOT = 2

private val SERVING_ORDER: Comparator<QueueTicket<*>> =
    compareByDescending<QueueTicket<*>> { it.priority }
        .thenBy { it.deadline.nanoseconds }
        .thenBy { it.sequence }

/**
 * Bounded priority queue of the requests of one service that found no free slot.
 *
 * Requests leave in the order of descending priority, then of the deadline, then of arrival. Every queued request ends
 * in exactly one way: returned by [poll], returned as removed, or cancelled. Thread-safe: each method holds one lock
 * for a time proportional to the length of the queue, which is a few dozen, and calls no code of its users, so event
 * loops may call it.
 *
 * @property configuredCapacity largest number of waiting requests, or `null` for twice the slots and at least 8.
 * @throws IllegalArgumentException if [configuredCapacity] is not positive.
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

    /**
     * Sets the number of slots that this VM owns for the service. Requests that already wait stay in the queue even if
     * they exceed the new capacity.
     *
     * @throws IllegalArgumentException if [slots] is negative.
     */
    public fun resize(slots: Int) {
        require(slots >= 0) { "the number of slots $slots is negative" }
        synchronized(lock) { this.slots = slots }
    }

    /** Records that a request occupied a slot for [serviceTime]; estimates of the waiting time are based on it. */
    public fun recordServed(serviceTime: Duration) {
        synchronized(lock) { this.serviceTime.observe(serviceTime) }
    }

    /**
     * Queues [request], or refuses it: if this VM has no slot, if the estimated end of the request is after [deadline],
     * or if the queue is full and no request in it has a lower [priority]. A queued request that finds the queue full
     * replaces the last request in it.
     */
    public fun offer(request: T, priority: Double, deadline: MonotonicTime, now: MonotonicTime): OfferResult<T> =
        synchronized(lock) {
            val removed = removeExpired(now)
            val ticket = QueueTicket(request, priority, deadline, now, nextSequence++)
            val reason = refusalReasonOrNull(ticket, now)
            if (reason != null) {
                OfferResult.Refused(reason, serviceTime.retryAfter(waiting.size, slots), removed)
            } else {
                val replaced = if (waiting.size >= currentCapacity()) listOf(removeLast()) else emptyList()
                waiting += ticket
                OfferResult.Queued(ticket, removed + replaced)
            }
        }

    /** Removes and returns the next request, which the caller must dispatch or answer. Call it when a slot is free. */
    public fun poll(now: MonotonicTime): PollResult<T> = synchronized(lock) {
        val removed = removeExpired(now)
        PollResult(waiting.pollFirst(), removed)
    }

    /**
     * Returns a request to the queue that [poll] returned and that could not be dispatched after all. The request gets
     * its former position even if the queue has become full, so the queue can exceed its capacity by at most the number
     * of concurrent polls.
     */
    public fun putBack(ticket: QueueTicket<T>) {
        synchronized(lock) { waiting += ticket }
    }

    /** Removes the requests whose deadline has passed. Call it from a timer, since [poll] depends on free slots. */
    public fun expire(now: MonotonicTime): List<RemovedRequest<T>> = synchronized(lock) { removeExpired(now) }

    /** Removes [ticket]. Returns `false` if the request has already left the queue; then another caller answers it. */
    public fun cancel(ticket: QueueTicket<T>): Boolean = synchronized(lock) { waiting.remove(ticket) }

    private fun currentCapacity(): Int =
        configuredCapacity ?: (slots * REQUESTS_PER_SLOT).coerceAtLeast(MINIMUM_CAPACITY)

    private fun refusalReasonOrNull(ticket: QueueTicket<T>, now: MonotonicTime): RefusalReason? {
        if (ticket.deadline <= now) return RefusalReason.DEADLINE_PASSED
        if (slots == 0) return RefusalReason.NO_SEAT
        val ahead = waiting.headSet(ticket).size
        val estimatedEnd = now + serviceTime.waitingTime(ahead, slots) + serviceTime.expected
        return when {
            estimatedEnd > ticket.deadline -> RefusalReason.DEADLINE_TOO_SHORT
            waiting.size >= currentCapacity() && waiting.last().priority >= ticket.priority -> RefusalReason.QUEUE_FULL
            else -> null
        }
    }

    private fun removeLast(): RemovedRequest<T> {
        val last = checkNotNull(waiting.pollLast()) { "the queue is full but has no last request" }
        return RemovedRequest(last, RefusalReason.QUEUE_FULL, serviceTime.retryAfter(waiting.size, slots))
    }

    private fun removeExpired(now: MonotonicTime): List<RemovedRequest<T>> {
        var removed: MutableList<RemovedRequest<T>>? = null
        val iterator = waiting.iterator()
        while (iterator.hasNext()) {
            val ticket = iterator.next()
            if (ticket.deadline > now) continue
            iterator.remove()
            val list = removed ?: mutableListOf<RemovedRequest<T>>().also { removed = it }
            list += RemovedRequest(ticket, RefusalReason.DEADLINE_PASSED, serviceTime.retryAfter(waiting.size, slots))
        }
        return removed ?: emptyList()
    }
}
