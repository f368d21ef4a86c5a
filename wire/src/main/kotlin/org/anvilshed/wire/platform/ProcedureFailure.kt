package org.anvilshed.wire.platform

import org.anvilshed.core.bundle.BundleRejection

/** Failure that ended a procedure of [BundleProcedures]. */
public sealed interface ProcedureFailure :
    SubmitResult,
    SignOffResult {
    public val message: String

    /** A rule forbids the step, and nothing was written. */
    public data class Rejected(public val reason: BundleRejection?, override val message: String) : ProcedureFailure

    /** The platform did not answer; the step did not take effect. */
    public data class Unreachable(override val message: String) : ProcedureFailure

    /** The answer to a write was lost and the object could not be read back; the step may have taken effect. */
    public data class Uncertain(override val message: String) : ProcedureFailure
}
