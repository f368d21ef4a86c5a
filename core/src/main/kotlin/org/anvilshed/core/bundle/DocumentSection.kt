package org.anvilshed.core.bundle

import com.akuleshov7.ktoml.tree.nodes.TomlKeyValueArray
import com.akuleshov7.ktoml.tree.nodes.TomlKeyValuePrimitive
import com.akuleshov7.ktoml.tree.nodes.TomlNode
import com.akuleshov7.ktoml.tree.nodes.pairs.values.TomlValue
import org.anvilshed.core.isValidName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

private const val NAME_FORM = "1 to 63 lower-case letters, digits and inner hyphens"

/**
 * Typed access to the keys of one table of a document. Every fault is added to [faults]; an invalid or missing value is
 * read as `null`, so that the rest of the document is still checked.
 */
internal class DocumentSection(private val path: String, node: TomlNode, private val faults: MutableList<BundleFault>) {
    private val values: Map<String, TomlValue>
    private val knownKeys = mutableSetOf<String>()

    init {
        val entries = node.children.mapNotNull { child -> valueOf(child)?.let { child.name to it } }
        entries.groupBy { it.first }.filterValues { it.size > 1 }.keys.forEach { report(it, "is given more than once") }
        values = entries.toMap()
    }

    fun report(key: String, message: String) {
        faults += BundleFault(pathOf(key), message)
    }

    fun long(key: String, allowed: LongRange, default: Long? = null): Long? = read(key, default) { content ->
        (content as? Long)?.takeIf { it in allowed }
            ?: fault(key, content, "an integer from ${allowed.first} to ${allowed.last}")
    }

    fun int(key: String, allowed: IntRange, default: Int? = null): Int? =
        long(key, allowed.first.toLong()..allowed.last.toLong(), default?.toLong())?.toInt()

    fun milliseconds(key: String, allowed: LongRange, default: Long? = null): Duration? =
        long(key, allowed, default)?.milliseconds

    /** Reads a number; the document may also have an integer. */
    fun number(key: String, allowed: NumberRange, default: Double? = null): Double? = read(key, default) { content ->
        val number = (content as? Double) ?: (content as? Long)?.toDouble()
        number?.takeIf { it in allowed } ?: fault(key, content, "a number $allowed")
    }

    fun boolean(key: String): Boolean? = read(key, null) { content ->
        content as? Boolean ?: fault(key, content, "true or false")
    }

    fun text(key: String, maximumLength: Int, default: String? = null): String? = read(key, default) { content ->
        (content as? String)?.takeIf { it.length <= maximumLength }
            ?: fault(key, content, "a string of at most $maximumLength characters")
    }

    /** Reads a string that [convert] accepts; [form] describes the accepted strings. */
    fun <T : Any> converted(key: String, form: String, default: T? = null, convert: (String) -> T?): T? =
        read(key, default) { content -> (content as? String)?.let(convert) ?: fault(key, content, form) }

    fun <T : Any> name(key: String, construct: (String) -> T): T? =
        converted(key, NAME_FORM) { text -> text.takeIf(::isValidName)?.let(construct) }

    fun names(key: String): Set<String>? = read(key, emptySet()) { content ->
        val items = (content as? List<*>)?.map { (it as? TomlValue)?.content as? String }
        items?.takeIf { list -> list.all { it != null && isValidName(it) } }?.filterNotNull()?.toSet()
            ?: fault(key, content, "an array of names of operators, each of $NAME_FORM")
    }

    /** Reads an optional time, written as a TOML date-time with offset or as a string in the form of RFC 3339. */
    fun optionalInstant(key: String): Instant? {
        knownKeys += key
        val content = values[key]?.content ?: return null
        return content as? Instant
            ?: (content as? String)?.let(Instant::parseOrNull)
            ?: fault(key, content, "a time such as 2026-12-04T20:00:00Z")
    }

    /** Reports the keys that no call has read, apart from the tables named in [tables]. */
    fun reportUnknownKeys(tables: Set<String> = emptySet()) {
        for (key in values.keys - knownKeys - tables) {
            report(key, "unknown key; allowed are ${(knownKeys + tables).sorted().joinToString()}")
        }
    }

    private fun <T : Any> read(key: String, default: T?, convert: (Any?) -> T?): T? {
        knownKeys += key
        val value = values[key]
        if (value == null && default == null) report(key, "is missing")
        return if (value == null) default else convert(value.content)
    }

    private fun fault(key: String, content: Any?, expected: String): Nothing? {
        val found = when (content) {
            null -> "no value"
            is List<*> -> "an array"
            is String -> "\"$content\""
            else -> content.toString()
        }
        report(key, "expected $expected, found $found")
        return null
    }

    private fun pathOf(key: String): String = if (path.isEmpty()) key else "$path.$key"

    private fun valueOf(node: TomlNode): TomlValue? = when (node) {
        is TomlKeyValuePrimitive -> node.value
        is TomlKeyValueArray -> node.value
        else -> null
    }
}
