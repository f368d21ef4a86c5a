package org.anvilshed.daemon.settings

import com.akuleshov7.ktoml.tree.nodes.TomlKeyValueArray
import com.akuleshov7.ktoml.tree.nodes.TomlKeyValuePrimitive
import com.akuleshov7.ktoml.tree.nodes.TomlNode
import com.akuleshov7.ktoml.tree.nodes.pairs.values.TomlValue

/**
 * One fault in a settings file.
 *
 * @property path key or table with the fault, for example `peers[2].address`; empty for the whole file.
 */
internal data class SettingsFault(val path: String, val message: String) {
    override fun toString(): String = if (path.isEmpty()) message else "$path: $message"
}

/**
 * Typed access to the keys of one table. Every fault is added to [faults], and an invalid value is read as `null`, so
 * that the rest of the file is still checked.
 */
internal class SettingsSection(
    private val path: String,
    node: TomlNode?,
    private val faults: MutableList<SettingsFault>,
) {
    private val knownKeys = mutableSetOf<String>()
    private val entries = node?.children.orEmpty().mapNotNull { child -> valueOf(child)?.let { child.name to it } }
    private val values: Map<String, TomlValue> = entries.toMap()

    init {
        entries.groupBy { it.first }.filterValues { it.size > 1 }.keys.forEach {
            report(it, "is given more than once")
        }
    }

    /** Adds a fault of [key]. */
    fun report(key: String, message: String) {
        faults += SettingsFault(if (path.isEmpty()) key else "$path.$key", message)
    }

    /** Reads an integer in [allowed]. */
    fun long(key: String, allowed: LongRange, default: Long): Long? = read(key, default) { content ->
        (content as? Long)?.takeIf { it in allowed }
            ?: fault(key, content, "an integer from ${allowed.first} to ${allowed.last}")
    }

    /** Reads a string that [convert] accepts; [form] describes the accepted strings. */
    fun <T : Any> text(key: String, form: String, default: T? = null, convert: (String) -> T?): T? =
        read(key, default) { content -> (content as? String)?.let(convert) ?: fault(key, content, form) }

    /** Reads a string as [text] does; returns `null` without a fault if the key is missing. */
    fun <T : Any> optionalText(key: String, form: String, convert: (String) -> T?): T? {
        knownKeys += key
        return if (key in values) text(key, form, convert = convert) else null
    }

    /** Reads an integer as [long] does; returns `null` without a fault if the key is missing. */
    fun optionalLong(key: String, allowed: LongRange): Long? {
        knownKeys += key
        return if (key in values) long(key, allowed, allowed.first) else null
    }

    /** Returns the string under [key] without a check, or `null` if there is none. */
    fun rawTextOrNull(key: String): String? = values[key]?.content as? String

    /** Reads an array of strings; a missing key is an empty set. */
    fun texts(key: String): Set<String>? = read(key, emptySet()) { content ->
        val items = (content as? List<*>)?.map { (it as? TomlValue)?.content as? String }
        items?.takeIf { list -> list.all { it != null } }?.filterNotNull()?.toSet()
            ?: fault(key, content, "an array of strings")
    }

    /** Reports keys that no call has read as unknown. */
    fun reportUnknownKeys() {
        for (key in values.keys - knownKeys) {
            report(key, "unknown key; allowed are ${knownKeys.sorted().joinToString()}")
        }
    }

    private fun valueOf(node: TomlNode): TomlValue? = when (node) {
        is TomlKeyValuePrimitive -> node.value
        is TomlKeyValueArray -> node.value
        else -> null
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
}
