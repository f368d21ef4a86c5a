package org.anvilshed.daemon

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.CliktError
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.NoOpCliktCommand
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.core.UsageError
import com.github.ajalt.clikt.core.parse
import com.github.ajalt.clikt.core.subcommands
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.choice
import com.github.ajalt.clikt.parameters.types.file
import kotlinx.coroutines.runBlocking
import org.anvilshed.daemon.settings.LogFormat
import org.anvilshed.daemon.settings.Settings
import org.anvilshed.daemon.settings.SettingsResult
import org.anvilshed.daemon.settings.readSettings
import sun.misc.Signal
import java.io.IOException
import kotlin.system.exitProcess

private const val EXIT_INVALID_SETTINGS = 1
private const val EXIT_USAGE = 2
private const val EXIT_CANNOT_START = 4

/** A command with a settings file as its argument. */
private abstract class SettingsCommand(name: String) : CliktCommand(name) {
    private val file by argument("SETTINGS", help = "TOML file with the settings of this entry VM.")
        .file(mustExist = true, canBeDir = false, mustBeReadable = true)

    protected fun read(): Settings = when (val result = readSettings(file.readText())) {
        is SettingsResult.Valid -> result.settings

        is SettingsResult.Invalid -> {
            result.faults.forEach { echo("$file: $it", err = true) }
            throw ProgramResult(EXIT_INVALID_SETTINGS)
        }
    }
}

private class CheckCommand : SettingsCommand("check") {
    override fun help(context: Context) = "Check a settings file and report all of its faults."

    override fun run() {
        read()
        echo("The settings are valid.")
    }
}

private class RunCommand : SettingsCommand("run") {
    private val logFormat by option("--log-format", help = "Form of the log; overrides the settings.")
        .choice(LogFormat.entries.associateBy { it.label })

    override fun help(context: Context) = "Run the daemon of one entry VM until it is told to stop (SIGTERM)."

    override fun run() {
        val settings = read()
        configureLogging(logFormat?.let { settings.log.copy(format = it) } ?: settings.log)
        val code = runBlocking {
            val daemon = try {
                Daemon.start(settings)
            } catch (fault: IOException) {
                echo("cannot start: ${fault.message}", err = true)
                throw ProgramResult(EXIT_CANNOT_START)
            }
            // The first signal starts the graceful shutdown; after a second signal no new requests are admitted.
            for (name in listOf("TERM", "INT")) Signal.handle(Signal(name)) { daemon.requestStop() }
            daemon.awaitEnd()
        }
        // Threads of libraries may still run, but all work has ended.
        exitProcess(code)
    }
}

/** Runs the command line of the daemon. */
public fun main(arguments: Array<String>) {
    val command = object : NoOpCliktCommand("anvilshed") {}.subcommands(CheckCommand(), RunCommand())
    try {
        command.parse(arguments)
    } catch (fault: UsageError) {
        command.echoFormattedHelp(fault)
        exitProcess(EXIT_USAGE)
    } catch (fault: CliktError) {
        command.echoFormattedHelp(fault)
        exitProcess(fault.statusCode)
    }
}
