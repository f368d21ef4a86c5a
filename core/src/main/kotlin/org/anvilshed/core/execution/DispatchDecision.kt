package org.anvilshed.core.execution

import org.anvilshed.core.RefusalReason

/** Result of [Execution.dispatch]. */
public sealed interface DispatchDecision {
    /**
     * The record is marked dispatched; the holder may send the request once.
     *
     * @property attempt number to be passed to [Execution.returnNotRun].
     */
    public data class Dispatched(public val attempt: Int) : DispatchDecision

    /** Nothing may be sent now; the record is still admitted, and the holder may try again or refuse it. */
    public data class Denied(public val reason: RefusalReason) : DispatchDecision

    /** The request is already dispatched and must not be sent again. */
    public data object AlreadyDispatched : DispatchDecision

    /** The request has ended with [result], for example by expiry. */
    public data class Ended(public val result: ExecutionResult) : DispatchDecision
}
