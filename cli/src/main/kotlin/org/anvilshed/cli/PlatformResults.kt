package org.anvilshed.cli

import org.anvilshed.wire.platform.PlatformResult
import org.anvilshed.wire.platform.ProcedureFailure
import org.anvilshed.wire.platform.describe

/**
 * Returns the value of a successful call.
 *
 * @throws CommandFailure if the call failed.
 */
internal fun <T> PlatformResult<T>.orFail(): T = when (this) {
    is PlatformResult.Success -> value
    is PlatformResult.Malformed -> throw rejected(message)
    is PlatformResult.Failure -> throw unreachable(describe(this))
}

/**
 * Returns the value, or `null` if the object does not exist or cannot be decoded.
 *
 * @throws CommandFailure if the call failed for another reason.
 */
internal fun <T> PlatformResult<T>.orNullIfAbsentOrMalformed(): T? = when (this) {
    PlatformResult.NotFound, is PlatformResult.Malformed -> null
    else -> orFail()
}

/** Returns the failure of a command that corresponds to [failure]. */
internal fun commandFailure(failure: ProcedureFailure): CommandFailure = when (failure) {
    is ProcedureFailure.Rejected -> rejected(failure.message)
    is ProcedureFailure.Unreachable -> unreachable(failure.message)
    is ProcedureFailure.Uncertain -> uncertain(failure.message)
}
