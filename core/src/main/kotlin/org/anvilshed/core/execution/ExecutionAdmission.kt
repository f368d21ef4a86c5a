package org.anvilshed.core.execution

import org.anvilshed.core.RefusalReason
import org.anvilshed.core.UnknownReason
import org.anvilshed.core.VmIdentity

/** Result of [ExecutionRecords.admit]. */
public sealed interface ExecutionAdmission {
    /** First arrival: the caller of [ExecutionRecords.admit] now holds [execution] and has to end it. */
    public data class Admitted(public val execution: Execution) : ExecutionAdmission

    /** Duplicate: wait for the result with [Execution.subscribe]; a result may already be present. */
    public data class Duplicate(public val execution: Execution) : ExecutionAdmission

    /** No record exists and none was created; the request did not run. */
    public data class Refused(public val reason: RefusalReason) : ExecutionAdmission

    /** Nothing can be said about an earlier attempt; the request is not run now. */
    public data class Unknown(public val reason: UnknownReason) : ExecutionAdmission

    /** Another VM owns the identifier; forward the request to [owner], and never answer `not-run` by oneself. */
    public data class OwnedElsewhere(public val owner: VmIdentity) : ExecutionAdmission
}
