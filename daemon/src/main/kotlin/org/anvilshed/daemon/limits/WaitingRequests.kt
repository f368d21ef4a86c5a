package org.anvilshed.daemon.limits

import kotlinx.coroutines.CancellationException
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
 * Queues of all services. [serveNext] is called when a slot becomes free and by a timer, since seats, ejections, slow
 * start and rate limits free capacity without any request ending.
 *
 * @param takeTarget takes a free slot of a target of the service in the own zone, or returns `null`.
 */
internal class WaitingRequests(
    private val runtimes: ServiceRuntimes,
    private val clock: DaemonClock,
    private val takeTarget: (ServiceName) -> AcquiredTarget?,
) {
    /** Waits for a slot until [deadline]. [serveAtOnce] is `false` if a free target has just refused the request. */
    suspend fun wait(
        service: ServiceName,
        kind: RequestKind,
        deadline: MonotonicTime,
        serveAtOnce: Boolean,
    ): QueueOutcome {
        val queue = runtimes.getValue(service).queue
        val request = QueuedRequest()
        val result = queue.offer(request, kind.priority, deadline, clock.now())
        answer(result.removed)
        return when (result) {
            is OfferResult.Refused -> QueueOutcome.Removed(result.reason, result.retryAfter)

            is OfferResult.Queued -> {
                if (serveAtOnce) serveNext(service)
                await(service, result.ticket)
            }
        }
    }

    /** Gives free slots of [service] to waiting requests and answers those whose deadline has passed. */
    fun serveNext(service: ServiceName) {
        val queue = runtimes.getOrNull(service)?.queue ?: return
        while (queue.size > 0) {
            answer(queue.expire(clock.now()))
            val place = takeTarget(service) ?: return
            val polled = queue.poll(clock.now())
            answer(polled.removed)
            val granted = polled.next?.request?.outcome?.complete(QueueOutcome.Granted(place)) == true
            if (!granted) place.complete()
            if (polled.next == null) return
        }
    }

    /** Serves the queues of all services; to be called every few milliseconds. */
    fun serveAll() {
        for (runtime in runtimes.all) if (runtime.queue.size > 0) serveNext(runtime.name)
    }

    private suspend fun await(service: ServiceName, ticket: QueueTicket<QueuedRequest>): QueueOutcome {
        val outcome = ticket.request.outcome
        try {
            return outcome.await()
        } catch (cancelled: CancellationException) {
            runtimes.getValue(service).queue.cancel(ticket)
            if (!outcome.complete(QueueOutcome.Removed(RefusalReason.CANCELLED, retryAfter = null))) {
                val granted = withContext(NonCancellable) { outcome.await() } as? QueueOutcome.Granted
                granted?.place?.complete()
            }
            throw cancelled
        }
    }

    private fun answer(removed: List<RemovedRequest<QueuedRequest>>) {
        for (request in removed) {
            request.ticket.request.outcome.complete(QueueOutcome.Removed(request.reason, request.retryAfter))
        }
    }
}
