package org.anvilshed.core.execution

import org.anvilshed.core.RefusalReason
import org.anvilshed.core.UnknownReason
import org.anvilshed.core.VmIdentity

/** Result of [ExecutionRecords.admit]. */
public sealed interface Admission {
    /** First arrival: the caller of [ExecutionRecords.admit] now holds [execution] and has to end it. */
    public data class Admitted(public val execution: Execution) : Admission

    /** Duplicate: wait for the result with [Execution.subscribe]; a result may already be present. */
    public data class Duplicate(public val execution: Execution) : Admission

    /** No record exists and none was created; the request did not run. */
    public data class Refused(public val reason: RefusalReason) : Admission

    /** Nothing can be said about an earlier attempt; the request is not run now. */
    public data class Unknown(public val reason: UnknownReason) : Admission

    /** Another VM owns the identifier; forward the request to [owner], and never answer `not-run` by oneself. */
    public data class Foreign(public val owner: VmIdentity) : Admission
}
