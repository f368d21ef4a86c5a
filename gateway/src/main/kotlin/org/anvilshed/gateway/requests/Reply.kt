package org.anvilshed.gateway.requests

import org.anvilshed.gateway.targets.ExchangeResult
import kotlin.time.Duration

/** Final answer to a caller. */
internal sealed interface Reply {
    /** Answer of a target, passed on unchanged. */
    class FromTarget(val result: ExchangeResult.Complete) : Reply

    /** Large answer of a target, passed on as it arrives. */
    class Streamed(val result: ExchangeResult.Large) : Reply

    /** The request did not run and never will. */
    class NotRun(val status: Int, val reason: String, val retryAfter: Duration?) : Reply

    /** The request may have run, or can't be served as it is. */
    class Failed(val status: Int, val reason: String) : Reply
}
