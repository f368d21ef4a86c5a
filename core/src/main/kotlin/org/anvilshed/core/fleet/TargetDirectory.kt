package org.anvilshed.core.fleet

import org.anvilshed.core.MonotonicTime
import org.anvilshed.core.ZoneName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.ZERO
import kotlin.time.Duration.Companion.seconds

/**
 * Targets that are registered in the store, and the zones that are evacuated, as this VM last received them.
 *
 * Entries that may have expired in an outage of the store are kept until their targets had time to register again, see
 * [StoreContact]. An entry that disappeared otherwise is dropped at once. A target process that said itself that it
 * leaves counts as draining from then on, whatever its entry says. Not thread-safe.
 */
public class TargetDirectory {
    private val registered = HashMap<String, RegisteredTarget>()
    private val lapsing = HashMap<String, LapsingTarget>()
    private val leaving = HashMap<TargetKey, LeavingTarget>()
    private var evacuated: Set<ZoneName> = emptySet()
    private val lostEvacuationsUntil = HashMap<ZoneName, MonotonicTime>()
    private val coldZonesUntil = HashMap<ZoneName, MonotonicTime>()

    /** Targets that may get requests unless they are draining, including those whose registrations may have lapsed. */
    public val targets: Collection<RegisteredTarget>
        get() {
            val known = registered.values + lapsing.values.map { it.target }
            if (leaving.isEmpty()) return known
            return known.map { if (it.key in leaving) it.copy(draining = true) else it }
        }

    /** Zones whose targets must get no requests. */
    public val evacuatedZones: Set<ZoneName>
        get() = evacuated + lostEvacuationsUntil.keys

    /** Records that the process [key] said at [now] that it leaves; returns whether that is new of a known target. */
    public fun recordLeaving(key: TargetKey, now: MonotonicTime): Boolean {
        if (key in leaving) return false
        val isKnown = targets.any { it.key == key }
        // The entry of an unknown one may have been removed, and an older one may return.
        leaving[key] = LeavingTarget(since = now, lastKnownAt = now)
        lapsing.values.removeIf { it.target.key == key }
        return isKnown
    }

    /** Returns the processes that are known to leave since less than [time] before [now]. */
    public fun leavingWithin(time: Duration, now: MonotonicTime): List<TargetKey> =
        if (leaving.isEmpty()) emptyList() else leaving.filterValues { now - it.since < time }.keys.toList()

    /** Names of the targets that are kept although their entries disappeared. */
    public val lapsingNames: Set<String>
        get() = lapsing.keys.toSet()

    /** Returns how long after [now] the target [name] is kept without an entry, or `null` if it is not. */
    public fun keptForOrNull(name: String, now: MonotonicTime): Duration? = lapsing[name]?.let { it.until - now }

    /**
     * Replaces all entries by a listing of the store.
     *
     * @param mayReturnUntil until when the targets of missing registrations may be alive and register again, or `null`
     *   if these targets have left.
     */
    public fun replaceAll(entries: List<RegisteredTarget>, mayReturnUntil: MonotonicTime?) {
        val listed = entries.associateBy { it.key.name }
        for (target in registered.values) if (target.key.name !in listed) keep(target, mayReturnUntil)
        registered.clear()
        registered.putAll(listed)
        lapsing.keys.removeAll(listed.keys)
    }

    /** Adds a new entry or replaces the entry of the same name. */
    public fun put(entry: RegisteredTarget) {
        registered[entry.key.name] = entry
        lapsing.remove(entry.key.name)
    }

    /**
     * Removes the entry [name], which was removed from the store.
     *
     * @param mayReturnUntil until when its target may be alive and register again, or `null` if the target has left.
     */
    public fun remove(name: String, mayReturnUntil: MonotonicTime?) {
        registered.remove(name)?.let { keep(it, mayReturnUntil) }
    }

    /**
     * Replaces the set of evacuated zones at [now].
     *
     * The targets of a zone that is no longer evacuated count as cold for [coldDuration].
     *
     * @param mayBeLost whether the store was restored from an older copy, so that evacuations may be missing until the
     *   operator writes them again; they remain for [LOST_EVACUATION_GRACE].
     */
    public fun replaceEvacuations(
        zones: Set<ZoneName>,
        coldDuration: Duration,
        mayBeLost: Boolean,
        now: MonotonicTime,
    ) {
        for (zone in evacuated - zones) {
            val until = now + if (mayBeLost) LOST_EVACUATION_GRACE else ZERO
            if (mayBeLost) lostEvacuationsUntil[zone] = until
            coldZonesUntil[zone] = until + coldDuration
        }
        lostEvacuationsUntil.keys.removeAll(zones)
        evacuated = zones
    }

    /** Returns when targets of [zone] no longer count as cold after an evacuation, or `null` if there was none. */
    public fun coldUntilOrNull(zone: ZoneName): MonotonicTime? = coldZonesUntil[zone]

    /** Drops entries and evacuations that were not written again by [now]; returns their names. */
    public fun expire(now: MonotonicTime): List<String> {
        for ((key, target) in leaving) if (registered[key.name]?.key == key) target.lastKnownAt = now
        leaving.values.removeIf { now - it.lastKnownAt >= LEAVING_MEMORY }
        if (lapsing.isEmpty() && lostEvacuationsUntil.isEmpty()) return emptyList()
        val endedEvacuations = lostEvacuationsUntil.filterValues { it <= now }.keys.toList()
        lostEvacuationsUntil.keys.removeAll(endedEvacuations.toSet())
        val ended = lapsing.filterValues { it.until <= now }.keys.toList()
        lapsing.keys.removeAll(ended.toSet())
        return ended + endedEvacuations.map { it.value }
    }

    private fun keep(target: RegisteredTarget, until: MonotonicTime?) {
        if (until == null || target.draining || target.key in leaving) return
        lapsing[target.key.name] = LapsingTarget(target, until)
    }

    /** Process that said at [since] that it leaves, and was last registered, or said so, at [lastKnownAt]. */
    private class LeavingTarget(val since: MonotonicTime, var lastKnownAt: MonotonicTime)

    private class LapsingTarget(val target: RegisteredTarget, val until: MonotonicTime)

    public companion object {
        /** An operator writes lost evacuations again within about the time that an evacuation may take. */
        public val LOST_EVACUATION_GRACE: Duration = 5.seconds

        /** Longer than the time that a restored store may have lost, so that an older entry revives no target. */
        private val LEAVING_MEMORY = 60.seconds
    }
}
