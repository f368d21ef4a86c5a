package org.anvilshed.cli

import com.github.ajalt.clikt.core.UsageError
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

/** Format of the output. */
internal class OutputOptions : OptionGroup() {
    val output by option("--output", help = "Format of the output: a table for people or json for programs.")
        .choice("table", "json").default("table")

    val isJson: Boolean get() = output == "json"
}

/** Time limit of each network call. */
internal class NetworkOptions : OptionGroup() {
    private val timeoutMilliseconds by option(
        "--timeout-ms",
        help = "Time limit of one call in milliseconds. Default: 5000.",
    ).long().restrictTo(1L..600_000L).default(5_000)

    val timeout: Duration get() = timeoutMilliseconds.milliseconds
}

/** URL of the platform and public keys of the operators whose signatures are accepted. */
internal class PlatformOptions : OptionGroup("Platform") {
    private val settingsFile by option(
        "--settings",
        envvar = "ANVILCTL_SETTINGS",
        help = "Settings file of a VM, from which the platform URL, operators and revoked_keys are read.",
    ).file(mustExist = true, canBeDir = false)

    private val platformUrl by option(
        "--platform",
        envvar = "ANVILCTL_PLATFORM",
        help = "URL of the platform. Default: the URL in the settings.",
    )

    /** Settings, or `null` if no settings file is given. */
    val settings: OperatorSettings? by lazy { settingsFile?.let { readOperatorSettings(it.readText()) } }

    /**
     * URL of the platform.
     *
     * @throws UsageError if neither the option nor the settings give it.
     */
    val url: String
        get() = platformUrl ?: settings?.platformUrl
            ?: throw usageError("give --platform URL, or --settings FILE with [platform] url")

    /**
     * Settings for commands that need the public keys of the operators.
     *
     * @throws UsageError if no settings file is given.
     */
    val requiredSettings: OperatorSettings
        get() = settings ?: throw usageError("give --settings FILE with the public keys of the operators")
}

/** Name and private key of the operator who runs a command that signs. */
internal class SignerOptions : OptionGroup("Operator") {
    val operator by option("--operator", envvar = "ANVILCTL_OPERATOR", help = "Your name in the settings.").required()

    val keyFile by option("--key", envvar = "ANVILCTL_KEY", help = "File with your private key, readable by you only.")
        .file(mustExist = true, canBeDir = false).required()
}
