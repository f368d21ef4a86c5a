package org.anvilshed.daemon.limits

import kotlinx.coroutines.CompletableDeferred
import org.anvilshed.core.RefusalReason
import kotlin.time.Duration

/** How waiting in the queue ended. */
internal sealed interface QueueOutcome {
    data class Granted(val place: AcquiredTarget) : QueueOutcome

    data class Removed(val reason: RefusalReason, val retryAfter: Duration?) : QueueOutcome
}

/** A request that waits for a slot. */
internal class QueuedRequest {
    val outcome = CompletableDeferred<QueueOutcome>()
}
