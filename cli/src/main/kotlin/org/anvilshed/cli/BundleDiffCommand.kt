package org.anvilshed.cli

import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.arguments.optional
import com.github.ajalt.clikt.parameters.groups.provideDelegate
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import org.anvilshed.core.bundle.BinaryData
import org.anvilshed.core.bundle.digest
import org.anvilshed.wire.platform.BundleStore
import org.anvilshed.wire.platform.PlatformClient
import java.io.File

/** `anvilctl bundle diff`. */
internal class BundleDiffCommand(private val environment: Environment) :
    AnvilctlCommand(
        "diff",
        "Show the differences between two bundles by path. Each bundle is given as a version or as a document file. " +
            "With one argument, the bundle in force is compared with that bundle. Signatures are not checked.",
    ) {
    private val first by argument("BUNDLE", help = "Version or file.")
    private val second by argument("OTHER", help = "Version or file.").optional()
    private val platform by PlatformOptions()
    private val network by NetworkOptions()

    override fun execute(): CommandResult {
        val other = second
        val from = if (other == null) null else first
        val to = other ?: first
        val needsPlatform = listOf(from, to).any { it == null || it.toLongOrNull() != null }
        val (old, new) = if (needsPlatform) {
            environment.withPlatform(platform.url, CLIENT_NAME, network.timeout) { client ->
                (if (from == null) readCurrent(client) else read(client, from)) to read(client, to)
            }
        } else {
            readFile(checkNotNull(from)) to readFile(to)
        }
        return report(old, new)
    }

    private suspend fun read(client: PlatformClient, source: String): BinaryData {
        val version = source.toLongOrNull() ?: return readFile(source)
        return BundleStore(client).readRecord(version).orNullIfAbsentOrMalformed()?.value?.bytes
            ?: throw rejected("no bundle of version $version is submitted")
    }

    private suspend fun readCurrent(client: PlatformClient): BinaryData? {
        val current = BundleStore(client).readCurrent().orNullIfAbsentOrMalformed()?.value ?: return null
        return read(client, current.version.toString())
    }

    private fun readFile(path: String): BinaryData {
        val file = File(path)
        if (!file.isFile) throw usageError("$path is neither a version nor a file")
        return BinaryData(file.readBytes())
    }

    private fun report(old: BinaryData?, new: BinaryData): CommandResult {
        val before = old?.let { fieldsOf(parseDocument(it)) }.orEmpty()
        val after = fieldsOf(parseDocument(new))
        val changed = (before.keys + after.keys).filter { before[it] != after[it] }
        val rows = changed.map { listOf(it, before[it] ?: "-", after[it] ?: "-") }
        val table = if (rows.isEmpty()) "no differences" else textTable(listOf("PATH", "BEFORE", "AFTER"), rows)
        val changes = changed.map { path ->
            buildJsonObject {
                put("path", JsonPrimitive(path))
                put("before", JsonPrimitive(before[path]))
                put("after", JsonPrimitive(after[path]))
            }
        }
        return CommandResult(
            text = "$table\n\ndigest after: ${new.digest()}",
            json = buildJsonObject {
                put("digest_before", JsonPrimitive(old?.digest()?.value))
                put("digest_after", JsonPrimitive(new.digest().value))
                put("changes", JsonArray(changes))
            },
        )
    }
}
