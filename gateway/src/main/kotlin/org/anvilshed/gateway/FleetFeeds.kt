package org.anvilshed.gateway

import org.anvilshed.core.MonotonicTime
import org.anvilshed.core.ZoneName
import org.anvilshed.core.fleet.RegisteredTarget
import org.anvilshed.core.fleet.TargetDirectory
import org.anvilshed.core.ingress.IngressConfig
import org.anvilshed.gateway.store.ObjectStore
import org.anvilshed.gateway.store.StoreEvent
import org.anvilshed.gateway.store.StoreFeed
import org.anvilshed.gateway.store.StoreFeedListener
import org.anvilshed.gateway.store.StoreKind
import org.anvilshed.gateway.store.StoreObject
import kotlin.time.Duration.Companion.seconds

/**
 * Decoders of store objects; each returns `null` for an object that it can't decode.
 *
 * @property target second argument is the present time, to which the remaining cold time of a target is relative.
 */
public class StoreDecoders(
    public val config: (StoreObject) -> IngressConfig?,
    public val target: (StoreObject, MonotonicTime) -> RegisteredTarget?,
    public val evacuatedZone: (StoreObject) -> ZoneName?,
)

/**
 * Keeps the active config, the registered targets and the evacuated zones up to date from the store.
 *
 * @param onConfigChanged called after another config became active.
 * @param onTargetsChanged called after targets or evacuations changed.
 */
internal class FleetFeeds(
    store: ObjectStore,
    private val decoders: StoreDecoders,
    private val state: IngressState,
    private val directory: TargetDirectory,
    private val log: DecisionLog,
    private val clock: MonotonicClock,
    private val onConfigChanged: () -> Unit,
    private val onTargetsChanged: () -> Unit,
) {
    /** Feed of each kind of object. */
    val byKind: Map<StoreKind, StoreFeed> = mapOf(
        StoreKind.CONFIG to ConfigListener(),
        StoreKind.TARGETS to TargetListener(),
        StoreKind.EVACUATIONS to EvacuationListener(),
    ).mapValues { (kind, listener) -> StoreFeed(kind, store, listener, log, clock) }

    /** Whether all targets were received at least once. */
    val haveTargetsListing: Boolean
        get() = byKind.getValue(StoreKind.TARGETS).hasListing

    /** Returns the store revision of the last known change of each kind, in the order of [StoreKind]; -1 if unknown. */
    fun revisions(): List<Long> = StoreKind.entries.map { byKind[it]?.changedRevision ?: -1 }

    private inner class ConfigListener : StoreFeedListener {
        override fun listed(objects: List<StoreObject>, storeWasUnreachable: Boolean): Unit =
            objects.forEach(::activate)

        override fun changed(events: List<StoreEvent>, storeWasUnreachable: Boolean): Unit =
            events.filterNot { it.removed }.forEach { activate(it.changed) }

        private fun activate(stored: StoreObject) {
            val config = decoders.config(stored)
            if (config == null) {
                log.warning("config-unreadable", "object" to stored.name, "revision" to stored.revision)
            } else if (state.replace(config)) {
                log.info("config-in-force", "version" to config.version, "routes" to config.routes.size)
                onConfigChanged()
            } else {
                log.info("config-kept", "version" to state.currentOrNull?.config?.version, "received" to config.version)
            }
        }
    }

    private inner class TargetListener : StoreFeedListener {
        override fun listed(objects: List<StoreObject>, storeWasUnreachable: Boolean) {
            val now = clock()
            directory.replaceAll(objects.mapNotNull { readOrNull(it, now) }, storeWasUnreachable, now)
            log.info("targets-listed", "count" to objects.size, "store_was_away" to storeWasUnreachable)
            onTargetsChanged()
        }

        override fun changed(events: List<StoreEvent>, storeWasUnreachable: Boolean) {
            val now = clock()
            for (event in events) {
                val target = if (event.removed) null else readOrNull(event.changed, now)
                if (target == null) {
                    directory.remove(event.changed.name, storeWasUnreachable, now)
                } else {
                    directory.put(target)
                }
                log.info(
                    "target-changed",
                    "name" to event.changed.name,
                    "removed" to event.removed,
                    "draining" to target?.draining,
                    "zone" to target?.zone?.value,
                    "revision" to event.changed.revision,
                )
            }
            onTargetsChanged()
        }

        private fun readOrNull(stored: StoreObject, now: MonotonicTime): RegisteredTarget? {
            val target = decoders.target(stored, now)
            if (target == null) log.warning("target-unreadable", "object" to stored.name, "revision" to stored.revision)
            return target
        }
    }

    private inner class EvacuationListener : StoreFeedListener {
        private val zones = HashMap<String, ZoneName>()

        override fun listed(objects: List<StoreObject>, storeWasUnreachable: Boolean) {
            zones.clear()
            objects.forEach(::read)
            apply()
        }

        override fun changed(events: List<StoreEvent>, storeWasUnreachable: Boolean) {
            for (event in events) if (event.removed) zones.remove(event.changed.name) else read(event.changed)
            apply()
        }

        private fun read(stored: StoreObject) {
            decoders.evacuatedZone(stored)?.let { zones[stored.name] = it }
        }

        private fun apply() {
            val services = state.currentOrNull?.config?.services?.values.orEmpty()
            val coldDuration = services.maxOfOrNull { it.coldDuration } ?: DEFAULT_COLD_DURATION
            directory.replaceEvacuations(zones.values.toSet(), coldDuration, clock())
            log.info("evacuations", "zones" to zones.values)
            onTargetsChanged()
        }
    }

    private companion object {
        /** Used if an evacuation ends before the first config was received. */
        val DEFAULT_COLD_DURATION = 5.seconds
    }
}
