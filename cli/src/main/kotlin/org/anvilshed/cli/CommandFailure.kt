package org.anvilshed.cli

import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject

/**
 * Failure of a command; ends the command with [exitCode].
 *
 * @property result short identifier of the outcome for programs, such as `rejected`.
 * @property message what failed, in one line.
 * @property details further lines, such as one for each fault of a document.
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
