package org.anvilshed.core.fleet

import org.anvilshed.core.MonotonicTime
import org.anvilshed.core.ZoneName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Targets that this VM knows from the store, and the zones that are evacuated.
 *
 * Entries that vanished while the store was away are kept for [LAPSE_GRACE] after its return: their targets may be
 * alive and register again. An entry that vanished while the store was reachable ends at once. Not thread-safe.
 */
public class TargetDirectory {
    private val registered = HashMap<String, RegisteredTarget>()
    private val lapsing = HashMap<String, LapsingTarget>()
    private var evacuated: Set<ZoneName> = emptySet()
    private val coldZonesUntil = HashMap<ZoneName, MonotonicTime>()

    /** Targets that may get requests unless they are draining, including those whose entries may come back. */
    public val targets: Collection<RegisteredTarget>
        get() = registered.values + lapsing.values.map { it.target }

    /** Zones whose targets must get no requests. */
    public val evacuatedZones: Set<ZoneName>
        get() = evacuated

    /**
     * Takes over a whole listing at [now].
     *
     * @param storeWasAway whether the store was unreachable before this listing, so that entries may have lapsed.
     */
    public fun replaceAll(entries: List<RegisteredTarget>, storeWasAway: Boolean, now: MonotonicTime) {
        val listed = entries.associateBy { it.key.name }
        for (target in registered.values.filter { it.key.name !in listed }) {
            if (storeWasAway && !target.draining) lapsing[target.key.name] = LapsingTarget(target, now + LAPSE_GRACE)
        }
        registered.clear()
        registered.putAll(listed)
        lapsing.keys.removeAll(listed.keys)
    }

    /** Takes over a created or changed entry. */
    public fun put(entry: RegisteredTarget) {
        registered[entry.key.name] = entry
        lapsing.remove(entry.key.name)
    }

    /**
     * Takes over at [now] that the entry [name] was removed.
     *
     * @param storeWasAway whether the store returned less than [LAPSE_GRACE] ago, so that the entry may have lapsed.
     */
    public fun remove(name: String, storeWasAway: Boolean, now: MonotonicTime) {
        val target = registered.remove(name) ?: return
        if (storeWasAway && !target.draining) lapsing[name] = LapsingTarget(target, now + LAPSE_GRACE)
    }

    /** Takes over the set of evacuated zones; targets of a zone that is taken back count as cold for [coldDuration]. */
    public fun replaceEvacuations(zones: Set<ZoneName>, coldDuration: Duration, now: MonotonicTime) {
        for (zone in evacuated - zones) coldZonesUntil[zone] = now + coldDuration
        evacuated = zones
    }

    /** Time until which targets of [zone] count as cold after an evacuation, or `null` if there was none. */
    public fun coldUntilOrNull(zone: ZoneName): MonotonicTime? = coldZonesUntil[zone]

    /** Forgets lapsed entries that did not come back by [now]; returns their names. */
    public fun expire(now: MonotonicTime): List<String> {
        val ended = lapsing.filterValues { it.until <= now }.keys.toList()
        lapsing.keys.removeAll(ended.toSet())
        return ended
    }

    private class LapsingTarget(val target: RegisteredTarget, val until: MonotonicTime)

    public companion object {
        /** Living targets register again within 2 s of the store's return; the rest covers the way of the event. */
        public val LAPSE_GRACE: Duration = 2.seconds + 200.milliseconds
    }
}
