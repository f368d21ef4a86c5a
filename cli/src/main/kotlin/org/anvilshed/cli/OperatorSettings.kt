package org.anvilshed.cli

import com.akuleshov7.ktoml.TomlInputConfig
import com.akuleshov7.ktoml.parsers.TomlParser
import com.akuleshov7.ktoml.tree.nodes.TomlArrayOfTablesElement
import com.akuleshov7.ktoml.tree.nodes.TomlFile
import com.akuleshov7.ktoml.tree.nodes.TomlKeyValueArray
import com.akuleshov7.ktoml.tree.nodes.TomlKeyValuePrimitive
import com.akuleshov7.ktoml.tree.nodes.TomlNode
import com.akuleshov7.ktoml.tree.nodes.TomlTable
import com.akuleshov7.ktoml.tree.nodes.pairs.values.TomlValue
import org.anvilshed.core.bundle.BundleVerifier
import org.anvilshed.core.bundle.parsePublicKeyOrNull
import java.security.PublicKey

/**
 * Settings of the daemon that `anvilctl` uses; the other settings in the file are neither read nor checked.
 *
 * @property platformUrl `[platform] url`, or `null` if it is not given.
 * @property operators public keys by name from `[[operators]]`.
 * @property revokedKeys names of the operators in `revoked_keys`.
 */
internal class OperatorSettings(
    val platformUrl: String?,
    val operators: Map<String, PublicKey>,
    val revokedKeys: Set<String>,
) {
    /** Returns a verifier of the signatures of these operators. */
    fun verifier(): BundleVerifier = BundleVerifier(operators, revokedKeys)
}

/**
 * Reads settings from the TOML document [text].
 *
 * @throws CommandFailure if a setting is not valid; the details list every fault.
 */
internal fun readOperatorSettings(text: String): OperatorSettings {
    // On malformed documents, ktoml throws exceptions of several types and StackOverflowError.
    val document = runCatching { TomlParser(TomlInputConfig()).parseString(text) }
        .getOrElse { throw invalidInput("the settings are not a TOML document: ${it.message}", cause = it) }
    val faults = mutableListOf<String>()
    val platform = document.tables("platform").firstOrNull()
    val operators = readOperators(document, faults)
    val revoked = document.children.filterIsInstance<TomlKeyValueArray>().find { it.name == "revoked_keys" }
    val revokedKeys = (revoked?.value?.content as? List<*>).orEmpty().map { (it as? TomlValue)?.content as? String }
    if (null in revokedKeys || document.children.any { it is TomlKeyValuePrimitive && it.name == "revoked_keys" }) {
        faults += "revoked_keys: expected an array of names of operators"
    }
    if (faults.isNotEmpty()) throw invalidInput("the settings have faults", faults)
    return OperatorSettings(platform?.text("url"), operators, revokedKeys.filterNotNull().toSet())
}

private fun readOperators(document: TomlFile, faults: MutableList<String>): Map<String, PublicKey> {
    val operators = mutableMapOf<String, PublicKey>()
    val elements = document.tables("operators").flatMap { it.children }.filterIsInstance<TomlArrayOfTablesElement>()
    for ((index, element) in elements.withIndex()) {
        val name = element.text("name")
        val key = element.text("public_key")?.let(::parsePublicKeyOrNull)
        if (name == null) faults += "operators[$index].name: expected the name of an operator"
        if (key == null) faults += "operators[$index].public_key: expected an Ed25519 public key (X.509) in base64"
        if (name != null && key != null && operators.put(name, key) != null) {
            faults += "operators[$index].name: $name is given more than once"
        }
    }
    return operators
}

private fun TomlFile.tables(name: String): List<TomlTable> =
    children.filterIsInstance<TomlTable>().filter { it.name == name }

private fun TomlNode.text(key: String): String? =
    children.filterIsInstance<TomlKeyValuePrimitive>().find { it.name == key }?.value?.content as? String
