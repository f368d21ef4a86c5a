package org.anvilshed.gateway.requests

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.ExperimentalCoroutinesApi
import org.anvilshed.core.placement.Placement
import org.anvilshed.core.placement.ServicePool
import org.anvilshed.core.placement.SharedRetryBudget
import org.anvilshed.core.placement.TargetOutcome
import org.anvilshed.core.placement.WaitingRequest
import org.anvilshed.gateway.Clock

/** Queue, targets and repeats of one service. Used by the event loop alone. */
internal class ServiceLane(val pool: ServicePool, val retries: SharedRetryBudget, private val clock: Clock) {
    private val decisions = HashMap<WaitingRequest, CompletableDeferred<Placement>>()

    /** Waits for the decision about a queued request. */
    suspend fun await(ticket: WaitingRequest): Placement {
        val decision = CompletableDeferred<Placement>()
        decisions[ticket] = decision
        var taken = false
        try {
            return decision.await().also { taken = true }
        } finally {
            decisions.remove(ticket)
            if (!taken) abandon(ticket, decision)
        }
    }

    /** Passes decisions about queued requests on. */
    fun pump() {
        for ((ticket, placement) in pool.dispatchWaiting(clock())) {
            val decision = decisions.remove(ticket)
            if (decision == null || !decision.complete(placement)) returnUnused(placement)
        }
    }

    /** A decision may have been made in the same turn in which its request was cancelled. */
    @OptIn(ExperimentalCoroutinesApi::class)
    private fun abandon(ticket: WaitingRequest, decision: CompletableDeferred<Placement>) {
        if (!pool.cancel(ticket) && decision.isCompleted) returnUnused(decision.getCompleted())
    }

    private fun returnUnused(placement: Placement) {
        if (placement is Placement.Send) pool.finish(placement.inFlight, TargetOutcome.Cancelled, clock())
    }
}
