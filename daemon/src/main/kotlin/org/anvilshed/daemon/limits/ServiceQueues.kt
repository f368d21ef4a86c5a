package org.anvilshed.daemon.limits

import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.withContext
import org.anvilshed.core.MonotonicTime
import org.anvilshed.core.RefusalReason
import org.anvilshed.core.ServiceName
import org.anvilshed.core.admission.OfferResult
import org.anvilshed.core.admission.QueueTicket
import org.anvilshed.core.admission.RemovedRequest
import org.anvilshed.core.bundle.RequestKind
import org.anvilshed.daemon.DaemonClock

/**
 * Requests of all services that wait for a slot. [serveNext] is called when a slot is freed, and by a timer, because
 * shares, ejections, slow start and rate limits can free capacity although no request ends.
 *
 * @param takeTarget takes a free slot of a target of the service in the own zone; returns `null` if there is none.
 */
internal class ServiceQueues(
    private val runtimes: ServiceRuntimes,
    private val clock: DaemonClock,
    private val takeTarget: (ServiceName) -> AcquiredTarget?,
) {
    /**
     * Waits for a slot until [deadline].
     *
     * @param serveImmediately whether to look for a free slot at once; `false` if a target has just refused the request
     *   although it had a free slot.
     */
    suspend fun awaitSlot(
        service: ServiceName,
        kind: RequestKind,
        deadline: MonotonicTime,
        serveImmediately: Boolean,
    ): QueueOutcome {
        val queue = runtimes.getValue(service).queue
        val request = QueuedRequest()
        val result = queue.offer(request, kind.priority, deadline, clock.now())
        completeRemoved(result.removed)
        return when (result) {
            is OfferResult.Refused -> QueueOutcome.Removed(result.reason, result.retryAfter)

            is OfferResult.Queued -> await(service, result.ticket, serveImmediately)
        }
    }

    /** Gives free slots of [service] to waiting requests and removes requests whose deadline has passed. */
    fun serveNext(service: ServiceName) {
        val queue = runtimes.getOrNull(service)?.queue ?: return
        while (queue.size > 0) {
            completeRemoved(queue.expire(clock.now()))
            val target = takeTarget(service) ?: return
            var isGranted = false
            try {
                val polled = queue.poll(clock.now())
                completeRemoved(polled.removed)
                isGranted = polled.next?.request?.outcome?.complete(QueueOutcome.Granted(target)) == true
                if (polled.next == null) return
            } finally {
                if (!isGranted) target.complete()
            }
        }
    }

    /** Serves the queues of all services. Must be called every few milliseconds. */
    fun serveAll() {
        for (runtime in runtimes.all) if (runtime.queue.size > 0) serveNext(runtime.name)
    }

    private suspend fun await(
        service: ServiceName,
        ticket: QueueTicket<QueuedRequest>,
        serveImmediately: Boolean,
    ): QueueOutcome {
        val outcome = ticket.request.outcome
        try {
            if (serveImmediately) serveNext(service)
            return outcome.await()
        } catch (@Suppress("TooGenericExceptionCaught") failure: Throwable) {
            // Nobody would use a slot that is granted to the request later.
            runtimes.getValue(service).queue.cancel(ticket)
            if (!outcome.complete(QueueOutcome.Removed(RefusalReason.CANCELLED, retryAfter = null))) {
                val granted = withContext(NonCancellable) { outcome.await() } as? QueueOutcome.Granted
                granted?.target?.complete()
            }
            throw failure
        }
    }

    /** Completes the outcomes of requests that were removed from a queue. */
    private fun completeRemoved(removed: List<RemovedRequest<QueuedRequest>>) {
        for (request in removed) {
            request.ticket.request.outcome.complete(QueueOutcome.Removed(request.reason, request.retryAfter))
        }
    }
}
