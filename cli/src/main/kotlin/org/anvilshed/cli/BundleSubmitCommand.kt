package org.anvilshed.cli

import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.groups.provideDelegate
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.file
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import org.anvilshed.core.bundle.BinaryData
import org.anvilshed.wire.platform.BundleProcedures
import org.anvilshed.wire.platform.OperatorCredentials
import org.anvilshed.wire.platform.ProcedureFailure
import org.anvilshed.wire.platform.SubmitResult

/** `anvilctl bundle submit`. */
internal class BundleSubmitCommand(private val environment: Environment) :
    AnvilctlCommand(
        "submit",
        "Sign a bundle document and store it under its version. The bundle comes into force when another operator " +
            "signs it off.",
    ) {
    private val file by argument("FILE", help = "Bundle document (TOML).").file(mustExist = true, canBeDir = false)
    private val platform by PlatformOptions()
    private val signer by SignerOptions()
    private val network by NetworkOptions()
    private val submissionId by option(
        "--submission-id",
        help = "Id printed by an earlier submission of the same document with an uncertain outcome, to continue it.",
    )

    override fun execute(): CommandResult {
        val bytes = BinaryData(file.readBytes())
        parseDocument(bytes)
        val credentials = OperatorCredentials(signer.operator, readPrivateKey(signer.keyFile))
        val id = submissionId ?: environment.newWriteId()
        val verifier = platform.requiredSettings.verifier()
        val result = environment.withPlatform(platform.url, signer.operator, network.timeout) {
            BundleProcedures(it, verifier).submit(bytes, credentials, id)
        }
        return when (result) {
            is SubmitResult.Submitted -> submitted(result)

            is SubmitResult.VersionTaken -> throw rejected(
                "version ${result.version} was submitted by ${result.existingAuthor} before, with digest " +
                    "${result.existingDigest}; compare with anvilctl bundle diff and use another version",
            )

            is ProcedureFailure.Uncertain -> throw uncertain(
                "${result.message}; to continue, run the command again with --submission-id $id",
            )

            is ProcedureFailure -> throw commandFailure(result)
        }
    }

    private fun submitted(result: SubmitResult.Submitted) = CommandResult(
        text = "version ${result.version} is submitted, digest ${result.digest}\n" +
            "another operator signs it off: anvilctl bundle sign-off ${result.version} --digest ${result.digest}",
        json = buildJsonObject {
            put("result", JsonPrimitive("submitted"))
            put("version", JsonPrimitive(result.version))
            put("digest", JsonPrimitive(result.digest.value))
            put("submission_id", JsonPrimitive(result.submissionId))
        },
    )
}
