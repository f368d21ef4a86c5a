package org.anvilshed.cli

import com.github.ajalt.clikt.parameters.groups.provideDelegate
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.restrictTo
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import org.anvilshed.core.bundle.BundleParseResult
import org.anvilshed.core.bundle.SignedBundle
import org.anvilshed.core.bundle.parseBundle
import org.anvilshed.wire.platform.BundleStore

/** `anvilctl bundle history`. */
internal class BundleHistoryCommand(private val environment: Environment) :
    AnvilctlCommand("history", "List the newest bundles with their operators and comments; * marks the one in force.") {
    private val platform by PlatformOptions()
    private val network by NetworkOptions()
    private val limit by option("--limit", help = "Number of bundles to show. Default: 20.")
        .int().restrictTo(1..1_000).default(20)

    override fun execute(): CommandResult = environment.withPlatform(platform.url, CLIENT_NAME, network.timeout) {
        val store = BundleStore(it)
        val current = store.readCurrent().orNullIfAbsentOrMalformed()?.value?.version ?: 0
        val records = store.listVersions().orFail().asReversed().take(limit)
            .mapNotNull { version ->
                store.readRecord(version).orNullIfAbsentOrMalformed()?.let { found -> version to found.value }
            }
        val rows = records.map { (version, record) ->
            val currentMark = if (version == current) "*" else ""
            val signOff = record.signOff
            val time = signOff?.activation?.activatedAt?.toString() ?: "-"
            listOf("$version$currentMark", record.author, signOff?.operator ?: "-", time, commentOf(record))
        }
        val json = records.map { (version, record) ->
            val extraFields = mapOf(
                "current" to JsonPrimitive(version == current),
                "comment" to JsonPrimitive(commentOf(record)),
            )
            JsonObject(recordJson(version, record) + extraFields)
        }
        val text = if (rows.isEmpty()) "no bundle is submitted" else textTable(HEADER, rows)
        CommandResult(text, JsonArray(json))
    }

    private fun commentOf(record: SignedBundle): String =
        when (val parsed = parseBundle(record.bytes.toByteArray().decodeToString())) {
            is BundleParseResult.Valid -> parsed.bundle.comment
            is BundleParseResult.Invalid -> "(invalid document)"
        }

    private companion object {
        val HEADER = listOf("VERSION", "AUTHOR", "SIGNED OFF BY", "ACTIVATED AT", "COMMENT")
    }
}
