package org.anvilshed.standins

import java.util.TreeMap

private const val EVENTS_KEPT = 20_000
private const val OLD_VALUES_KEPT = 256

/** One value of an object; [bytes] is `null` after a deletion. [writtenAt] is in milliseconds of the caller's clock. */
internal class ObjectValue(val version: Long, val bytes: ByteArray?, val writtenAt: Long)

/** Change of an object, as reported by a watch. */
internal data class ObjectEvent(val key: String, val version: Long, val deleted: Boolean)

/** Result of a conditional update. */
internal sealed interface WriteResult {
    data class Written(val version: Long) : WriteResult

    data class Conflict(val currentVersion: Long) : WriteResult
}

/**
 * Versioned objects with conditional updates. The version of an object is the store's revision at the write, so that
 * an object that was deleted and created again never repeats a version. Used by one thread.
 */
internal class ObjectStore {
    private val values = TreeMap<String, ArrayDeque<ObjectValue>>()
    private val events = ArrayDeque<ObjectEvent>()

    var revision: Long = 0
        private set

    /** Returns the value that [key] had at [time], or `null` if there was none. */
    fun read(key: String, time: Long = Long.MAX_VALUE): ObjectValue? =
        values[key]?.lastOrNull { it.writtenAt <= time }?.takeIf { it.bytes != null }

    /** Returns keys and values under [prefix] at [time]. */
    fun list(prefix: String, time: Long = Long.MAX_VALUE): Map<String, ObjectValue> =
        values.tailMap(prefix).keys.takeWhile { it.startsWith(prefix) }.mapNotNull { key ->
            read(key, time)?.let { key to it }
        }.toMap()

    /** Writes [bytes] (`null` deletes) if the current version of [key] is [expectedVersion]; 0 means no object. */
    fun write(key: String, expectedVersion: Long, bytes: ByteArray?, now: Long): WriteResult {
        val current = read(key)?.version ?: 0
        if (current != expectedVersion) return WriteResult.Conflict(current)
        revision++
        val history = values.getOrPut(key) { ArrayDeque() }
        history.addLast(ObjectValue(revision, bytes, now))
        if (history.size > OLD_VALUES_KEPT) history.removeFirst()
        events.addLast(ObjectEvent(key, revision, deleted = bytes == null))
        if (events.size > EVENTS_KEPT) events.removeFirst()
        return WriteResult.Written(revision)
    }

    /** Returns the changes under [prefix] after revision [after], or `null` if [after] is too old to resume from. */
    fun eventsAfter(prefix: String, after: Long): List<ObjectEvent>? {
        val oldest = events.firstOrNull()?.version ?: (revision + 1)
        if (after < oldest - 1) return null
        return events.filter { it.version > after && it.key.startsWith(prefix) }
    }
}
