package org.anvilshed.cli

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.core.UsageError
import com.github.ajalt.clikt.parameters.groups.provideDelegate
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement

private val PRETTY_JSON = Json { prettyPrint = true }

internal fun usageError(message: String): UsageError = UsageError(message)

/** A command that prints its result or its failure in the chosen output format; a failure determines the exit code. */
internal abstract class AnvilctlCommand(name: String, private val helpText: String) : CliktCommand(name) {
    private val outputOptions by OutputOptions()

    override fun help(context: Context): String = helpText

    /**
     * Runs the command and returns its result.
     *
     * @throws CommandFailure if the command fails; it is printed and determines the exit code.
     */
    protected abstract fun execute(): CommandResult

    final override fun run() {
        val failure = try {
            print(execute())
            null
        } catch (failure: CommandFailure) {
            failure
        }
        if (failure != null) {
            print(failure)
            throw ProgramResult(failure.exitCode.code)
        }
    }

    private fun print(result: CommandResult) {
        echo(if (outputOptions.isJson) format(result.json) else result.text)
    }

    private fun print(failure: CommandFailure) {
        if (outputOptions.isJson) {
            echo(format(failure.toJson()))
        } else {
            echo("anvilctl: ${failure.message}", err = true)
            failure.details.forEach { echo("  $it", err = true) }
        }
    }

    private fun format(json: JsonElement): String = PRETTY_JSON.encodeToString(JsonElement.serializer(), json)
}

/** Result of a command as [text] for people and as [json] for programs. */
internal class CommandResult(val text: String, val json: JsonElement)
