package org.anvilshed.core.execution

import org.anvilshed.core.RefusalReason
import org.anvilshed.core.UnknownReason
import org.anvilshed.core.VmIdentity

/** Result of [ExecutionRecords.admit]. */
public sealed interface ExecutionAdmission {
    /** First arrival: the caller of [ExecutionRecords.admit] now owns [execution] and must end it. */
    public data class Admitted(public val execution: Execution) : ExecutionAdmission

    /** Duplicate: the caller subscribes to the result with [Execution.subscribe]; the result may already be present. */
    public data class Duplicate(public val execution: Execution) : ExecutionAdmission

    /** The request did not run; there is no record of it, and none was created. */
    public data class Refused(public val reason: RefusalReason) : ExecutionAdmission

    /** It is unknown whether an earlier attempt ran; the request is not run now. */
    public data class Unknown(public val reason: UnknownReason) : ExecutionAdmission

    /** Another VM owns the identifier: the request is forwarded to [owner]; only [owner] may answer `not-run`. */
    public data class OwnedElsewhere(public val owner: VmIdentity) : ExecutionAdmission
}
