package org.anvilshed.cli

import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.file
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import org.anvilshed.core.bundle.BinaryData
import org.anvilshed.core.bundle.generateOperatorKeyPair
import org.anvilshed.core.isValidName
import java.security.SecureRandom

/** `anvilctl key generate`. */
internal class KeyGenerateCommand :
    AnvilctlCommand(
        "generate",
        "Generate the Ed25519 key pair of an operator. The private key goes to a new file with mode 600; the public " +
            "key is printed for the settings of the VMs.",
    ) {
    private val operator by argument("NAME", help = "Name of the operator.")
    private val privateKeyFile by option("--private-key", metavar = "FILE", help = "New file for the private key.")
        .file(canBeDir = false).required()

    override fun execute(): CommandResult {
        if (!isValidName(operator)) {
            throw invalidInput("'$operator' is not a name: expected 1 to 63 lower-case letters, digits and hyphens")
        }
        val keys = generateOperatorKeyPair(SecureRandom())
        writePrivateKey(privateKeyFile, BinaryData(keys.private.encoded).toBase64())
        val publicKey = BinaryData(keys.public.encoded).toBase64()
        return CommandResult(
            text = "[[operators]]\nname = \"$operator\"\npublic_key = \"$publicKey\"",
            json = buildJsonObject {
                put("name", JsonPrimitive(operator))
                put("public_key", JsonPrimitive(publicKey))
                put("private_key_file", JsonPrimitive(privateKeyFile.path))
            },
        )
    }
}
