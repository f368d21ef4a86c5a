package org.anvilshed.cli

import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.types.file
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import org.anvilshed.core.bundle.BinaryData
import org.anvilshed.core.bundle.Bundle
import org.anvilshed.core.bundle.BundleParseResult
import org.anvilshed.core.bundle.digest
import org.anvilshed.core.bundle.parseBundle

/** `anvilctl bundle check`. */
internal class BundleCheckCommand :
    AnvilctlCommand("check", "Check a bundle document and report every fault. Does not contact the platform.") {
    private val file by argument("FILE", help = "Bundle document (TOML).").file(mustExist = true, canBeDir = false)

    override fun execute(): CommandResult {
        val bytes = BinaryData(file.readBytes())
        val bundle = parseDocument(bytes)
        val counts = countsOf(bundle)
        return CommandResult(
            text = "version ${bundle.version} is valid, digest ${bytes.digest()}\n" +
                counts.entries.joinToString(", ") { "${it.value} ${it.key}" },
            json = buildJsonObject {
                put("result", JsonPrimitive("valid"))
                put("version", JsonPrimitive(bundle.version))
                put("digest", JsonPrimitive(bytes.digest().value))
                counts.forEach { (name, count) -> put(name, JsonPrimitive(count)) }
            },
        )
    }

    private fun countsOf(bundle: Bundle): Map<String, Int> = mapOf(
        "regions" to bundle.regions.size,
        "zones" to bundle.zones.size,
        "links" to bundle.links.size,
        "services" to bundle.services.size,
        "targets" to bundle.targets.size,
        "moves" to bundle.moves.size,
        "client_blocks" to bundle.clientBlocks.size,
        "retired" to bundle.retired.size,
    )
}

/**
 * Parses the bundle document in [bytes].
 *
 * @throws CommandFailure if the document is not valid; the details list every fault.
 */
internal fun parseDocument(bytes: BinaryData): Bundle =
    when (val parsed = parseBundle(bytes.toByteArray().decodeToString())) {
        is BundleParseResult.Valid -> parsed.bundle

        is BundleParseResult.Invalid ->
            throw invalidInput("the bundle has ${parsed.faults.size} fault(s)", parsed.faults.map { it.toString() })
    }
