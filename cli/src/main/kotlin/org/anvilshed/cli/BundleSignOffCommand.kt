package org.anvilshed.cli

import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.groups.provideDelegate
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.long
import com.github.ajalt.clikt.parameters.types.restrictTo
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import org.anvilshed.core.bundle.BundleDigest
import org.anvilshed.core.bundle.MAXIMUM_BUNDLE_VERSION
import org.anvilshed.wire.platform.BundleProcedures
import org.anvilshed.wire.platform.OperatorCredentials
import org.anvilshed.wire.platform.ProcedureFailure
import org.anvilshed.wire.platform.SignOffResult

/** `anvilctl bundle sign-off`. */
internal class BundleSignOffCommand(private val environment: Environment) :
    AnvilctlCommand(
        "sign-off",
        "Sign a submitted bundle as the second operator, which brings the bundle into force. Examine it first with " +
            "anvilctl bundle diff, which prints its digest.",
    ) {
    private val version by argument("VERSION", help = "Version of the bundle.")
        .long().restrictTo(1L..MAXIMUM_BUNDLE_VERSION)
    private val platform by PlatformOptions()
    private val signer by SignerOptions()
    private val network by NetworkOptions()
    private val digest by option(
        "--digest",
        help = "Digest of the bundle that you examined; a bundle with another digest is not signed.",
    )

    override fun execute(): CommandResult {
        val credentials = OperatorCredentials(signer.operator, readPrivateKey(signer.keyFile))
        val verifier = platform.requiredSettings.verifier()
        val expected = digest?.let { BundleDigest(it.lowercase()) }
        val result = environment.withPlatform(platform.url, signer.operator, network.timeout) {
            BundleProcedures(it, verifier)
                .signOff(version, expected, credentials, environment.newWriteId(), environment.now())
        }
        return when (result) {
            is SignOffResult.SignedOff -> signedOff(result)

            is SignOffResult.AlreadySignedOff ->
                throw rejected("version ${result.version} was signed off by ${result.operator} before")

            is SignOffResult.Superseded -> throw rejected(
                "version ${result.version} is signed off, but it will not come into force, because the higher " +
                    "version ${result.currentVersion} is already in force",
            )

            is SignOffResult.Refused -> throw rejected(
                "version ${result.version} is signed off, but it will not come into force: ${result.message}",
            )

            is ProcedureFailure -> throw commandFailure(result)
        }
    }

    private fun signedOff(result: SignOffResult.SignedOff) = CommandResult(
        text = "version ${result.version} is signed off and in force, digest ${result.digest}",
        json = buildJsonObject {
            put("result", JsonPrimitive("signed-off"))
            put("version", JsonPrimitive(result.version))
            put("digest", JsonPrimitive(result.digest.value))
        },
    )
}
