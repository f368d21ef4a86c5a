package org.anvilshed.standins

import java.util.TreeMap

private const val MAXIMUM_EVENTS = 20_000
private const val MAXIMUM_VALUES_PER_OBJECT = 256

/**
 * Value of an object at one version.
 *
 * @property bytes contents, or `null` if the object was deleted.
 * @property writtenAt time of the write in milliseconds of the caller's clock.
 */
internal class ObjectValue(val version: Long, val bytes: ByteArray?, val writtenAt: Long)

/** Change of an object, as a watch reports it. */
internal data class ObjectEvent(val key: String, val version: Long, val deleted: Boolean)

/** Result of a conditional update. */
internal sealed interface WriteResult {
    data class Written(val version: Long) : WriteResult

    data class Conflict(val currentVersion: Long) : WriteResult
}

/**
 * In-memory store of versioned objects with conditional updates. The version of an object is the revision of the store
 * after the write, so that an object that is deleted and created again never repeats a version. Not thread-safe.
 */
internal class InMemoryObjectStore {
    private val values = TreeMap<String, ArrayDeque<ObjectValue>>()
    private val events = ArrayDeque<ObjectEvent>()

    var revision: Long = 0
        private set

    /** Returns the value of [key] at [time], or `null` if the object did not exist then. */
    fun read(key: String, time: Long = Long.MAX_VALUE): ObjectValue? =
        values[key]?.lastOrNull { it.writtenAt <= time }?.takeIf { it.bytes != null }

    /** Returns the objects whose keys start with [prefix], with their values at [time]. */
    fun list(prefix: String, time: Long = Long.MAX_VALUE): Map<String, ObjectValue> =
        values.tailMap(prefix).keys.takeWhile { it.startsWith(prefix) }.mapNotNull { key ->
            read(key, time)?.let { key to it }
        }.toMap()

    /**
     * Writes [bytes] if the current version of [key] is [expectedVersion].
     *
     * @param expectedVersion current version, or 0 if the object must not exist.
     * @param bytes new contents, or `null` to delete the object.
     * @param now present time in milliseconds.
     */
    fun write(key: String, expectedVersion: Long, bytes: ByteArray?, now: Long): WriteResult {
        val current = read(key)?.version ?: 0
        if (current != expectedVersion) return WriteResult.Conflict(current)
        revision++
        val history = values.getOrPut(key) { ArrayDeque() }
        history.addLast(ObjectValue(revision, bytes, now))
        if (history.size > MAXIMUM_VALUES_PER_OBJECT) history.removeFirst()
        events.addLast(ObjectEvent(key, revision, deleted = bytes == null))
        if (events.size > MAXIMUM_EVENTS) events.removeFirst()
        return WriteResult.Written(revision)
    }

    /**
     * Returns the changes of objects whose keys start with [prefix] after revision [after], or `null` if changes after
     * [after] are no longer kept.
     */
    fun eventsAfter(prefix: String, after: Long): List<ObjectEvent>? {
        val oldest = events.firstOrNull()?.version ?: (revision + 1)
        if (after < oldest - 1) return null
        return events.filter { it.version > after && it.key.startsWith(prefix) }
    }
}
