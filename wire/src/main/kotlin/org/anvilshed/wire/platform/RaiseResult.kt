package org.anvilshed.wire.platform

/** Result of an attempt to raise `bundles/current`. */
internal sealed interface RaiseResult {
    /** `bundles/current` names [currentVersion], which is at least the requested version. */
    data class Done(val currentVersion: Long) : RaiseResult

    /** The bundle must not follow the current one. */
    data class Refused(val failure: ProcedureFailure.Rejected) : RaiseResult

    /** The platform did not answer. */
    data class Failed(val message: String) : RaiseResult
}
