package org.anvilshed.gateway.store

import org.anvilshed.core.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Objects of one kind as a VM knows them, which may be newer than those of a store that was restored from an older
 * copy. Not thread-safe.
 *
 * Within an era of the store, the revision says which content of an object is newer. Across eras the content says it
 * itself, as far as its writer counts; content that does not say it is taken from the later era.
 *
 * @param keepsLost whether objects that a restored store lacks remain known.
 * @param versionOf returns the version of a content, or `null` if the content does not state it.
 */
internal class KnownObjects(private val keepsLost: Boolean, private val versionOf: (StoreObject) -> ContentVersion?) {
    /** Removal at [at] of an object; [last] is its last known content, with a revision of the era of the removal. */
    private class Removal(val last: StoreObject, val at: MonotonicTime)

    private val objects = LinkedHashMap<String, StoreObject>()
    private val removed = HashMap<String, Removal>()

    /** All objects. */
    val values: Collection<StoreObject>
        get() = objects.values

    /** Replaces all objects at [now] by [listing]; keeps the known content where the listing has an older one. */
    fun replaceAll(listing: StoreListing, now: MonotonicTime) {
        val known = HashMap(objects)
        objects.clear()
        for (received in listing.objects) newestOrNull(received, known.remove(received.name))?.let(::put)
        for (missing in known.values) {
            // What is missing after a restore was not removed by its writer, but lost.
            val isLost = missing.revision.era < listing.revision.era
            if (!isLost) {
                remember(missing, now)
            } else if (keepsLost) {
                put(missing)
            }
        }
        removed.values.removeIf { now - it.at >= REMOVAL_MEMORY }
    }

    /** Applies [event] at [now]; returns whether it changed anything that is known. */
    fun apply(event: StoreEvent, now: MonotonicTime): Boolean {
        val received = event.changed
        val known = objects[received.name]
        if (event.removed) {
            objects.remove(received.name)
            remember((known ?: received).copy(revision = received.revision), now)
            return true
        }
        val isNewer = if (known != null && known.revision.era == received.revision.era) {
            received.revision > known.revision
        } else {
            newestOrNull(received, known) === received
        }
        if (isNewer) put(received)
        return isNewer
    }

    /** Takes [received] if its content is newer than the known one, whatever its revision; returns whether it is. */
    fun takeNewerContent(received: StoreObject): Boolean {
        val version = versionOf(received) ?: return false
        val known = objects[received.name]?.let(versionOf)
        if (known != null && version <= known) return false
        put(received)
        return true
    }

    private fun put(item: StoreObject) {
        objects[item.name] = item
        removed.remove(item.name)
    }

    private fun remember(item: StoreObject, now: MonotonicTime) {
        removed[item.name] = Removal(item, now)
    }

    /** Returns the newer one of [received] and [known], or `null` if the object was removed after [received]. */
    private fun newestOrNull(received: StoreObject, known: StoreObject?): StoreObject? {
        if (known == null) return received.takeUnless(::wasRemovedLater)
        val isSameEra = received.revision.era == known.revision.era
        val order = if (isSameEra) null else compareContentsOrNull(received, known)
        return when {
            order != null && order != 0 -> if (order > 0) received else known
            received.revision.era >= known.revision.era -> received
            else -> known
        }
    }

    private fun wasRemovedLater(received: StoreObject): Boolean {
        val removal = removed[received.name] ?: return false
        if (received.revision.era <= removal.last.revision.era) return false
        return compareContentsOrNull(received, removal.last)?.let { it <= 0 } ?: false
    }

    private fun compareContentsOrNull(first: StoreObject, second: StoreObject): Int? {
        val firstVersion = versionOf(first) ?: return null
        return versionOf(second)?.let(firstVersion::compareTo)
    }

    private companion object {
        /** Longer than the time that a restored store may have lost, so that removals in it are still known. */
        val REMOVAL_MEMORY: Duration = 60.seconds
    }
}
