package org.anvilshed.gateway.store

import org.anvilshed.core.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** What [KnownObjects] did with a content or a removal that it received. */
internal enum class Reception {
    /** It is in effect. */
    TAKEN,

    /** It may be older than what is known, and is in effect only if the store still has it after some time. */
    HELD,

    /** It is older than what is known. */
    DROPPED,
}

/**
 * Objects of one kind as a VM knows them. Decides, for every way in which contents arrive, which of two contents of an
 * object is newer. Not thread-safe.
 *
 * The store may perform a write long after it was sent, and then assigns a high revision to an old content; a store
 * that was restored from an older copy shows old contents as well. So the contents say themselves which one is newer,
 * as far as their writers count. The revision decides between contents that do not say it.
 *
 * A content that may be older is held back: a live writer replaces the older content with its next report, and the
 * content of a writer that has ended expires, both sooner than [holdTime]. What the store still has then is in effect.
 *
 * @param keepsLost whether objects that a restored store lacks remain known.
 * @param holdTime returns how long a content that may be older is held; longer than a content without reports remains
 *   in the store. If it is infinite, such a content is dropped.
 * @param versionOf returns the version of a content, or `null` if the content does not state it.
 */
internal class KnownObjects(
    private val keepsLost: Boolean,
    private val holdTime: () -> Duration,
    private val versionOf: (StoreObject) -> ContentVersion?,
) {
    /**
     * Removal at [at] of an object.
     *
     * @property last its last known content, with the revision of the removal.
     * @property mayHaveExpired whether its writer may be alive and may only have been unable to renew it.
     */
    private class Removal(val last: StoreObject, val mayHaveExpired: Boolean, val at: MonotonicTime)

    private class Held(val content: StoreObject, val since: MonotonicTime)

    private val objects = LinkedHashMap<String, StoreObject>()

    /** Removals of each name, one for each lifetime. */
    private val removed = HashMap<String, MutableList<Removal>>()
    private val held = LinkedHashMap<String, Held>()

    /** All objects whose contents are in effect. */
    val values: Collection<StoreObject>
        get() = objects.values

    /** All contents that are in effect, followed by those that are held. */
    val contents: List<StoreObject>
        get() = objects.values + held.values.map { it.content }

    /**
     * Replaces all objects at [now] by [listing]; keeps the known content where the listing has an older one.
     *
     * @param mayHaveExpired whether missing objects may have expired because their writers could not reach the store.
     */
    fun replaceAll(listing: StoreListing, mayHaveExpired: Boolean, now: MonotonicTime) {
        val known = HashMap(objects)
        objects.clear()
        val listed = listing.objects.mapTo(HashSet()) { it.name }
        val missingHeld = held.values.map { it.content }.filter { it.name !in listed }
        held.keys.retainAll(listed)
        for (received in listing.objects) {
            known.remove(received.name)?.let { objects[it.name] = it }
            receive(received, now)
        }
        for (missing in missingHeld + known.values) {
            // What is missing after a restore was not removed by its writer, but lost.
            val isLost = missing.revision.era < listing.revision.era
            if (!isLost) {
                remember(missing, listing.revision, mayHaveExpired, now)
            } else if (keepsLost && missing.name in known) {
                put(missing)
            }
        }
        forgetRemovals(now)
    }

    /**
     * Applies [event] at [now].
     *
     * @param mayHaveExpired whether a removed object may have expired because its writer could not reach the store.
     */
    fun apply(event: StoreEvent, mayHaveExpired: Boolean, now: MonotonicTime): Reception {
        val received = event.changed
        if (!event.removed) return receive(received, now)
        val contents = listOfNotNull(held.remove(received.name)?.content, objects.remove(received.name))
        for (last in contents.ifEmpty { listOf(received) }) remember(last, received.revision, mayHaveExpired, now)
        return Reception.TAKEN
    }

    /** Takes [received] if its content is newer than the known one, whatever its revision; returns whether it is. */
    fun takeNewerContent(received: StoreObject): Boolean {
        val version = versionOf(received) ?: return false
        val known = objects[received.name]?.let(versionOf)
        if (known != null && version.compareWith(known) != ContentOrder.NEWER) return false
        put(received)
        return true
    }

    /** Puts the contents into effect that the store still has although they were held for long; returns them. */
    fun takeHeld(now: MonotonicTime): List<StoreObject> {
        forgetRemovals(now)
        val due = held.values.filter { isDue(it, now) }.map { it.content }
        due.forEach(::put)
        return due
    }

    private fun isDue(item: Held, now: MonotonicTime): Boolean {
        // Several late writes of a writer that has left can renew its content one after the other.
        val removal = removed[item.content.name]?.firstOrNull { lifetimeOf(it.last) == lifetimeOf(item.content) }
        val heldFrom = if (removal == null) item.since else maxOf(item.since, removal.at + LATE_WRITE_LIMIT)
        return now - heldFrom >= holdTime()
    }

    /** Returns the version of the known content of [name], or of its last one if it was removed. */
    fun versionOrNull(name: String): ContentVersion? =
        (objects[name] ?: removed[name]?.lastOrNull()?.last)?.let(versionOf)

    private fun receive(received: StoreObject, now: MonotonicTime): Reception {
        val heldBefore = held.remove(received.name)
        // A listing shows a content again that arrived earlier.
        val arrivedAt = heldBefore?.takeIf { it.content.revision == received.revision }?.since ?: now
        val order = orderOf(received, arrivedAt)
        // A lifetime whose end is held does not go on.
        if (heldBefore != null && compare(received, heldBefore.content) == ContentOrder.OLDER) {
            held[received.name] = heldBefore
            return Reception.DROPPED
        }
        return when {
            order == ContentOrder.NEWER -> Reception.TAKEN.also { put(received) }

            order == ContentOrder.UNCLEAR && holdTime().isFinite() ->
                Reception.HELD.also { held[received.name] = Held(received, heldSince(received, heldBefore) ?: now) }

            else -> Reception.DROPPED
        }
    }

    private fun orderOf(received: StoreObject, arrivedAt: MonotonicTime): ContentOrder {
        objects[received.name]?.let { return compare(received, it) }
        val orders = removed[received.name].orEmpty().map { compareWithRemoved(received, it, arrivedAt) }
        val outdated = orders.firstOrNull { it == ContentOrder.OLDER || it == ContentOrder.SAME }
        return outdated ?: orders.firstOrNull { it == ContentOrder.UNCLEAR } ?: ContentOrder.NEWER
    }

    /** Further reports of one writer do not start its time again. */
    private fun heldSince(received: StoreObject, before: Held?): MonotonicTime? =
        before?.takeIf { lifetimeOf(it.content) == lifetimeOf(received) }?.since

    private fun lifetimeOf(item: StoreObject): Long? = versionOf(item)?.lifetime

    private fun compare(received: StoreObject, known: StoreObject): ContentOrder {
        val version = versionOf(received)
        val knownVersion = versionOf(known)
        val isLater = received.revision > known.revision
        if (version == null || knownVersion == null) {
            return when {
                !isLater -> ContentOrder.OLDER
                knownVersion?.endsLifetime == true -> ContentOrder.UNCLEAR
                else -> ContentOrder.NEWER
            }
        }
        val order = version.compareWith(knownVersion)
        return when {
            // Revisions order lifetimes of a name, and changes between which the writer did not count.
            order == ContentOrder.SAME -> if (isLater) ContentOrder.NEWER else ContentOrder.SAME

            !isLater && version.lifetime != knownVersion.lifetime -> ContentOrder.OLDER

            !isLater && order == ContentOrder.UNCLEAR -> ContentOrder.OLDER

            else -> order
        }
    }

    private fun compareWithRemoved(received: StoreObject, removal: Removal, arrivedAt: MonotonicTime): ContentOrder {
        val last = removal.last
        val version = versionOf(received)
        val lastVersion = versionOf(last)
        val order = compare(received, last)
        val isSameLifetime = version != null && version.lifetime == lastVersion?.lifetime
        if (order != ContentOrder.NEWER || !isSameLifetime) return order
        if (version.endsLifetime) return ContentOrder.NEWER
        // The last content itself is no sign of a live writer.
        if (version.sequence == lastVersion.sequence) return ContentOrder.UNCLEAR
        // A writer that lives writes again after its object expired. One that has left may have a write that is late.
        val mayBeLate = received.revision.era == last.revision.era &&
            !removal.mayHaveExpired &&
            arrivedAt - removal.at < LATE_WRITE_LIMIT
        return if (mayBeLate) ContentOrder.UNCLEAR else ContentOrder.NEWER
    }

    private fun put(item: StoreObject) {
        objects[item.name] = item
        removed[item.name]?.removeIf { lifetimeOf(it.last) == lifetimeOf(item) }
        held.remove(item.name)
    }

    private fun remember(item: StoreObject, revision: StoreRevision, mayHaveExpired: Boolean, now: MonotonicTime) {
        val removals = removed.getOrPut(item.name) { ArrayList() }
        val before = removals.firstOrNull { lifetimeOf(it.last) == lifetimeOf(item) }
        removals.remove(before)
        // A late report that was held and then expired is not the last one of its lifetime.
        val last = before?.last?.takeIf { compare(item, it) != ContentOrder.NEWER } ?: item
        removals.add(Removal(last.copy(revision = revision), mayHaveExpired, now))
    }

    private fun forgetRemovals(now: MonotonicTime) {
        if (removed.isEmpty()) return
        for (removals in removed.values) removals.removeIf { now - it.at >= REMOVAL_MEMORY }
        removed.values.removeIf { it.isEmpty() }
    }

    private companion object {
        /** Longer than the time that a restored store may have lost, so that removals in it are still known. */
        val REMOVAL_MEMORY: Duration = 60.seconds

        /** The store performs a write without a response some seconds late at most. */
        val LATE_WRITE_LIMIT: Duration = 7.seconds
    }
}
