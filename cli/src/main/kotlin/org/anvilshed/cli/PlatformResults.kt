package org.anvilshed.cli

import org.anvilshed.wire.platform.PlatformResult
import org.anvilshed.wire.platform.ProcedureFailure
import org.anvilshed.wire.platform.describe

/**
 * Returns the value of a call that a command cannot do without.
 *
 * @throws CommandFailure otherwise.
 */
internal fun <T> PlatformResult<T>.orFail(): T = when (this) {
    is PlatformResult.Success -> value
    is PlatformResult.Malformed -> throw rejected(message)
    is PlatformResult.Failure -> throw unreachable(describe(this))
}

/** Returns the value, or `null` if the object does not exist or cannot be decoded. */
internal fun <T> PlatformResult<T>.orNullIfAbsent(): T? = when (this) {
    PlatformResult.NotFound, is PlatformResult.Malformed -> null
    else -> orFail()
}

/** Returns the end of a command at [failure]. */
internal fun commandFailure(failure: ProcedureFailure): CommandFailure = when (failure) {
    is ProcedureFailure.Rejected -> rejected(failure.message)
    is ProcedureFailure.Unreachable -> unreachable(failure.message)
    is ProcedureFailure.Uncertain -> uncertain(failure.message)
}
