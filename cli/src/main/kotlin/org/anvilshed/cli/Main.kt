package org.anvilshed.cli

import com.github.ajalt.clikt.completion.completionOption
import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.CliktError
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.NoOpCliktCommand
import com.github.ajalt.clikt.core.UsageError
import com.github.ajalt.clikt.core.parse
import com.github.ajalt.clikt.core.subcommands
import kotlin.system.exitProcess

private const val EXIT_CODES =
    "Exit codes: 0 success, 1 invalid input, 2 usage error, 3 rejected by a rule, a conflicting change or a VM, " +
        "4 the platform or VM did not answer or the outcome is uncertain."

private class CommandGroup(name: String, private val helpText: String) : NoOpCliktCommand(name) {
    override fun help(context: Context): String = helpText

    override fun helpEpilog(context: Context): String = EXIT_CODES
}

/** Returns the command `anvilctl` with all its subcommands. */
internal fun anvilctl(environment: Environment): CliktCommand =
    CommandGroup("anvilctl", "Operate an anvilshed deployment: submit bundles, sign them off and inspect the VMs.")
        .completionOption(help = "Print the completion script for this shell.")
        .subcommands(
            CommandGroup("key", "Keys of operators.").subcommands(KeyGenerateCommand()),
            CommandGroup("bundle", "Bundles: signed, versioned configuration of the traffic steering.").subcommands(
                BundleCheckCommand(),
                BundleSubmitCommand(environment),
                BundleSignOffCommand(environment),
                BundleStatusCommand(environment),
                BundleDiffCommand(environment),
                BundleHistoryCommand(environment),
            ),
            StatusCommand(environment),
            LookupCommand(environment),
        )

/** Runs [command] with [arguments], prints help or errors of usage, and returns the exit code. */
internal fun runCommand(command: CliktCommand, arguments: List<String>): Int = try {
    command.parse(arguments)
    ExitCode.SUCCESS.code
} catch (error: UsageError) {
    command.echoFormattedHelp(error)
    ExitCode.USAGE_ERROR.code
} catch (error: CliktError) {
    command.echoFormattedHelp(error)
    error.statusCode
}

/** Runs `anvilctl`. */
public fun main(arguments: Array<String>) {
    exitProcess(runCommand(anvilctl(SystemEnvironment), arguments.toList()))
}
