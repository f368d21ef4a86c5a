package org.anvilshed.core.bundle

import com.akuleshov7.ktoml.TomlInputConfig
import com.akuleshov7.ktoml.parsers.TomlParser
import com.akuleshov7.ktoml.tree.nodes.TableType
import com.akuleshov7.ktoml.tree.nodes.TomlArrayOfTablesElement
import com.akuleshov7.ktoml.tree.nodes.TomlFile
import com.akuleshov7.ktoml.tree.nodes.TomlTable

private val ARRAY_NAMES =
    listOf("regions", "zones", "links", "services", "kinds", "targets", "moves", "client_blocks", "retired")

/** Largest size of a bundle in bytes, so that its record fits one platform object (1 MiB) in base64. */
public const val MAXIMUM_BUNDLE_BYTES: Int = 700 * 1024

/** Largest version of a bundle; the key of its object on the platform has 8 digits. */
public const val MAXIMUM_BUNDLE_VERSION: Long = 99_999_999

/**
 * Parses and validates the TOML document [text]. Every fault of the document is reported, except that a document that
 * is not valid TOML yields only the first fault.
 */
public fun parseBundle(text: String): BundleParseResult {
    val size = text.toByteArray().size
    if (size > MAXIMUM_BUNDLE_BYTES) {
        return invalid("the document has $size bytes; at most $MAXIMUM_BUNDLE_BYTES are allowed")
    }
    val document = try {
        TomlParser(TomlInputConfig()).parseString(text)
    } catch (fault: IllegalArgumentException) {
        return invalid("not a TOML document: ${fault.message}")
    } catch (@Suppress("TooGenericExceptionCaught") fault: IndexOutOfBoundsException) {
        // For some malformed lines, ktoml lets the exceptions of the string functions that it calls escape.
        return invalid("not a TOML document: ${fault.message}")
    } catch (fault: NoSuchElementException) {
        return invalid("not a TOML document: ${fault.message}")
    } catch (_: StackOverflowError) {
        // ktoml 0.7.1 recurses infinitely on an array that is not closed before the next table.
        return invalid("not a TOML document: an array is not closed, or arrays are nested too deeply")
    }
    return BundleReader(document).read()
}

private fun invalid(message: String): BundleParseResult =
    BundleParseResult.Invalid(listOf(BundleFault(path = "", message = message)))

/** Reads the parts of a bundle from the syntax tree of a document and collects the faults. */
private class BundleReader(document: TomlFile) {
    private val faults = mutableListOf<BundleFault>()
    private val root = DocumentSection("", document, faults)
    private val sections: Map<String, List<DocumentSection>> = readSections(document)

    fun read(): BundleParseResult {
        root.long("format", 1L..1L)
        val version = root.long("version", 1L..MAXIMUM_BUNDLE_VERSION)
        val comment = root.text("comment", maximumLength = 500, default = "")
        // The default drain limit of a VM (120 s) is longer than this time plus 2 s plus the longest deadline (50 s).
        val lookupTimeToLive = root.milliseconds("lookup_ttl_ms", 100L..60_000L, default = 5_000)
        val shareCount = root.int("seats", 2..16_384, default = 64)
        // The lower bound is longer than a lease with clock drift (7.3 s).
        val isolationLimit = root.milliseconds("isolation_limit_ms", 10_000L..86_400_000L, default = 7_200_000)
        val revokedKeys = root.names("revoked_keys")
        root.reportUnknownKeys(ARRAY_NAMES.toSet())

        val topology = TopologyReader(faults).read(section("regions"), section("zones"), section("links"))
        val services = ServiceReader(faults, topology)
        val serviceMap = services.readServices(section("services"), section("kinds"))
        val targets = services.readTargets(section("targets"))
        val moves = services.readMoves(section("moves"))
        val clientBlocks = readClientBlocks(section("client_blocks"), topology)
        val retired = readRetired(section("retired"))
        if (faults.isNotEmpty()) return BundleParseResult.Invalid(faults.toList())
        return BundleParseResult.Valid(
            Bundle(
                version = checkNotNull(version),
                comment = checkNotNull(comment),
                lookupTimeToLive = checkNotNull(lookupTimeToLive),
                shareCount = checkNotNull(shareCount),
                isolationLimit = checkNotNull(isolationLimit),
                revokedKeys = checkNotNull(revokedKeys),
                regions = topology.regions,
                zones = topology.zones,
                links = topology.links,
                services = serviceMap,
                targets = targets,
                moves = moves,
                clientBlocks = clientBlocks,
                retired = retired,
            ),
        )
    }

    private fun section(name: String): List<DocumentSection> = sections[name].orEmpty()

    private fun readSections(document: TomlFile): Map<String, List<DocumentSection>> {
        val result = mutableMapOf<String, List<DocumentSection>>()
        for (table in document.children.filterIsInstance<TomlTable>()) {
            val elements = table.children.filterIsInstance<TomlArrayOfTablesElement>()
            val isFlatArray = table.type == TableType.ARRAY &&
                elements.size == table.children.size &&
                elements.none { element -> element.children.any { it is TomlTable } }
            when {
                table.name !in ARRAY_NAMES ->
                    faults += BundleFault(table.name, "unknown table; allowed are ${ARRAY_NAMES.joinToString()}")

                !isFlatArray ->
                    faults += BundleFault(table.name, "expected tables [[${table.name}]] without tables inside of them")

                else -> result[table.name] = elements.mapIndexed { index, element ->
                    DocumentSection("${table.name}[$index]", element, faults)
                }
            }
        }
        return result
    }
}
