package org.anvilshed.core.execution

import org.anvilshed.core.RefusalReason

/** Result of [Execution.dispatch]. */
public sealed interface DispatchDecision {
    /**
     * The record is marked as dispatched; the owner of the execution may send the request once.
     *
     * @property attempt number of this dispatch, to be passed to [Execution.returnNotRun].
     */
    public data class Dispatched(public val attempt: Int) : DispatchDecision

    /** Nothing may be sent now; the record is still admitted, and its owner may dispatch it again or refuse it. */
    public data class Denied(public val reason: RefusalReason) : DispatchDecision

    /** The request is already dispatched and must not be sent again. */
    public data object AlreadyDispatched : DispatchDecision

    /** The request has ended with [result], for example because its record expired. */
    public data class Ended(public val result: ExecutionResult) : DispatchDecision
}
