package org.anvilshed.cli

import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject

/**
 * End of a command without success.
 *
 * @property result short word for programs.
 * @property details one line each.
 */
internal class CommandFailure(
    val exitCode: ExitCode,
    val result: String,
    override val message: String,
    val details: List<String> = emptyList(),
    cause: Throwable? = null,
) : Exception(message, cause) {
    fun toJson() = buildJsonObject {
        put("result", JsonPrimitive(result))
        put("message", JsonPrimitive(message))
        if (details.isNotEmpty()) put("details", JsonArray(details.map(::JsonPrimitive)))
    }
}

internal fun invalidInput(
    message: String,
    details: List<String> = emptyList(),
    cause: Throwable? = null,
): CommandFailure = CommandFailure(ExitCode.INVALID_INPUT, "invalid-input", message, details, cause)

internal fun rejected(message: String): CommandFailure = CommandFailure(ExitCode.REJECTED, "rejected", message)

internal fun unreachable(message: String): CommandFailure = CommandFailure(ExitCode.UNREACHABLE, "unreachable", message)

internal fun uncertain(message: String): CommandFailure = CommandFailure(ExitCode.UNREACHABLE, "uncertain", message)
