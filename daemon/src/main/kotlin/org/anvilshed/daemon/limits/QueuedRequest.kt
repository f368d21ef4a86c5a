package org.anvilshed.daemon.limits

import kotlinx.coroutines.CompletableDeferred
import org.anvilshed.core.RefusalReason
import kotlin.time.Duration

/** Outcome of waiting in the queue of a service. */
internal sealed interface QueueOutcome {
    /** A free slot of [target] was taken for the request. */
    data class Granted(val target: AcquiredTarget) : QueueOutcome

    /** The request left the queue without a slot. */
    data class Removed(val reason: RefusalReason, val retryAfter: Duration?) : QueueOutcome
}

/** A request in the queue of its service; [outcome] completes when the request leaves the queue. */
internal class QueuedRequest {
    val outcome = CompletableDeferred<QueueOutcome>()
}
