package org.anvilshed.cli

import com.github.ajalt.clikt.parameters.groups.OptionGroup
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.choice
import com.github.ajalt.clikt.parameters.types.file
import com.github.ajalt.clikt.parameters.types.long
import com.github.ajalt.clikt.parameters.types.restrictTo
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Form of the output. */
internal class OutputOptions : OptionGroup() {
    val output by option("--output", help = "Form of the output: a table for people or json for programs.")
        .choice("table", "json").default("table")

    val isJson: Boolean get() = output == "json"
}

/** Time limit of the calls over the network. */
internal class NetworkOptions : OptionGroup() {
    private val timeoutMilliseconds by option("--timeout-ms", help = "Longest time for one call. Default: 5000.")
        .long().restrictTo(1L..600_000L).default(5_000)

    val timeout: Duration get() = timeoutMilliseconds.milliseconds
}

/** Where the platform is and whose signatures count. */
internal class PlatformOptions : OptionGroup("Platform") {
    private val settingsFile by option(
        "--settings",
        envvar = "ANVILCTL_SETTINGS",
        help = "Settings file of a VM; its platform URL, operators and revoked_keys are used.",
    ).file(mustExist = true, canBeDir = false)

    private val platformUrl by option(
        "--platform",
        envvar = "ANVILCTL_PLATFORM",
        help = "URL of the platform. Default: the one in the settings.",
    )

    /** Settings, or `null` if no file is given. */
    val settings: OperatorSettings? by lazy { settingsFile?.let { readOperatorSettings(it.readText()) } }

    /** URL of the platform; a missing one is a usage error. */
    val url: String
        get() = platformUrl ?: settings?.platformUrl
            ?: throw usageError("give --platform URL, or --settings FILE with [platform] url")

    /** Settings; their absence is a usage error. */
    val requiredSettings: OperatorSettings
        get() = settings ?: throw usageError("give --settings FILE with the public keys of the operators")
}

/** Who runs a command that signs. */
internal class SignerOptions : OptionGroup("Operator") {
    val operator by option("--operator", envvar = "ANVILCTL_OPERATOR", help = "Your name in the settings.").required()

    val keyFile by option("--key", envvar = "ANVILCTL_KEY", help = "File with your private key, readable by you only.")
        .file(mustExist = true, canBeDir = false).required()
}
