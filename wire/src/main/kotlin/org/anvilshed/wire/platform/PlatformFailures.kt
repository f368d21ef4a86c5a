package org.anvilshed.wire.platform

/** Returns a description of [failure] for operators. */
public fun describe(failure: PlatformResult.Failure): String = when (failure) {
    PlatformResult.NotFound -> "the object does not exist"
    is PlatformResult.VersionConflict -> "the object was changed by another writer"
    PlatformResult.TooLarge -> "the object is larger than the platform allows"
    PlatformResult.RateLimited -> "the platform's rate limit is reached; try again in a second"
    PlatformResult.RevisionTooOld -> "the revision is too old"
    is PlatformResult.Malformed -> failure.message
    is PlatformResult.Unavailable -> "the platform is unavailable: ${failure.message}"
    is PlatformResult.OutcomeUncertain -> "the answer of the platform was lost: ${failure.message}"
}

/**
 * Returns the result of a procedure that ends because of [failure].
 *
 * @param wasUncertain whether an earlier write of the procedure may have taken effect.
 */
internal fun procedureFailure(failure: PlatformResult.Failure, wasUncertain: Boolean = false): ProcedureFailure = when {
    wasUncertain || failure is PlatformResult.OutcomeUncertain -> ProcedureFailure.Uncertain(describe(failure))

    failure is PlatformResult.Malformed || failure == PlatformResult.TooLarge ->
        ProcedureFailure.Rejected(null, describe(failure))

    else -> ProcedureFailure.Unreachable(describe(failure))
}
