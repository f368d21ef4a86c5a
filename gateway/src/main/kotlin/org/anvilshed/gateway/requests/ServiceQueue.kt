package org.anvilshed.gateway.requests

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.ExperimentalCoroutinesApi
import org.anvilshed.core.placement.Placement
import org.anvilshed.core.placement.ServicePool
import org.anvilshed.core.placement.SharedRetryBudget
import org.anvilshed.core.placement.TargetOutcome
import org.anvilshed.core.placement.WaitingRequest
import org.anvilshed.gateway.MonotonicClock

/**
 * Waiting requests of one service: hands the decisions of [pool] to the coroutines that wait for them.
 *
 * Confined to the event loop.
 *
 * @property pool queue and targets of the service.
 * @property retries retry budget of the service.
 */
internal class ServiceQueue(val pool: ServicePool, val retries: SharedRetryBudget, private val clock: MonotonicClock) {
    private val decisions = HashMap<WaitingRequest, CompletableDeferred<Placement>>()

    /** Suspends until [dispatch] decides about the queued request [ticket]; removes the request if cancelled. */
    suspend fun await(ticket: WaitingRequest): Placement {
        val decision = CompletableDeferred<Placement>()
        decisions[ticket] = decision
        var isDelivered = false
        try {
            return decision.await().also { isDelivered = true }
        } finally {
            decisions.remove(ticket)
            if (!isDelivered) abandon(ticket, decision)
        }
    }

    /** Resumes the queued requests about which the pool decides now. */
    fun dispatch() {
        for ((ticket, placement) in pool.dispatchWaiting(clock())) {
            val decision = decisions.remove(ticket)
            if (decision == null || !decision.complete(placement)) releaseSlot(placement)
        }
    }

    /**
     * Withdraws a cancelled request. If a decision was made in the same event loop iteration, the slot that it took is
     * released.
     */
    @OptIn(ExperimentalCoroutinesApi::class)
    private fun abandon(ticket: WaitingRequest, decision: CompletableDeferred<Placement>) {
        if (!pool.cancel(ticket) && decision.isCompleted) releaseSlot(decision.getCompleted())
    }

    private fun releaseSlot(placement: Placement) {
        if (placement is Placement.Send) pool.finish(placement.inFlight, TargetOutcome.Cancelled, clock())
    }
}
