package org.anvilshed.gateway

import org.anvilshed.core.MonotonicTime
import org.anvilshed.core.ZoneName
import org.anvilshed.core.fleet.RegisteredTarget
import org.anvilshed.core.fleet.StoreContact
import org.anvilshed.core.fleet.TargetDirectory
import org.anvilshed.core.ingress.IngressConfig
import org.anvilshed.gateway.peers.AnnouncedStore
import org.anvilshed.gateway.store.ContentVersion
import org.anvilshed.gateway.store.ObjectStore
import org.anvilshed.gateway.store.StoreContinuity
import org.anvilshed.gateway.store.StoreEvent
import org.anvilshed.gateway.store.StoreFeed
import org.anvilshed.gateway.store.StoreFeedListener
import org.anvilshed.gateway.store.StoreKind
import org.anvilshed.gateway.store.StoreObject
import org.anvilshed.gateway.store.StoreRevision
import org.anvilshed.gateway.targets.targetNameFieldOrNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Decoders of store objects; each returns `null` for an object that it can't decode.
 *
 * @property target second argument is the present time, to which the remaining cold time of a target is relative.
 * @property contentVersion version of an object of a kind by its content, or `null` if the content does not state it.
 */
public class StoreDecoders(
    public val config: (StoreObject) -> IngressConfig?,
    public val target: (StoreObject, MonotonicTime) -> RegisteredTarget?,
    public val evacuatedZone: (StoreObject) -> ZoneName?,
    public val contentVersion: (StoreKind, StoreObject) -> ContentVersion?,
)

/**
 * Keeps the active config, the registered targets and the evacuated zones up to date from the store.
 *
 * @param reportPeriod returns the interval at which targets renew their entries.
 * @param onConfigChanged called after another config became active.
 * @param onTargetsChanged called after targets or evacuations changed.
 */
internal class FleetFeeds(
    store: ObjectStore,
    private val decoders: StoreDecoders,
    private val state: IngressState,
    private val directory: TargetDirectory,
    private val contact: StoreContact,
    private val log: DecisionLog,
    private val clock: MonotonicClock,
    private val reportPeriod: () -> Duration,
    private val onConfigChanged: () -> Unit,
    private val onTargetsChanged: () -> Unit,
) {
    /** Feed of each kind of object. */
    val byKind: Map<StoreKind, StoreFeed> = mapOf(
        StoreKind.CONFIG to ConfigListener(),
        StoreKind.TARGETS to TargetListener(),
        StoreKind.EVACUATIONS to EvacuationListener(),
    ).mapValues { (kind, listener) ->
        // Only targets report again and again. A config of a lower version is never newer.
        val holdTime = { if (kind == StoreKind.TARGETS) reportPeriod() * HOLD_PERIODS else Duration.INFINITE }
        StoreFeed(kind, store, listener, holdTime, { decoders.contentVersion(kind, it) }, contact, log, clock)
    }

    /** Whether all targets were received at least once. */
    val haveTargetsListing: Boolean
        get() = byKind.getValue(StoreKind.TARGETS).hasListing

    /** Version of the config in force, or [AnnouncedStore.NO_CONFIG]. */
    val configVersion: Long
        get() = state.currentOrNull?.config?.version ?: AnnouncedStore.NO_CONFIG

    /** Returns what is known of the store, for announcements to other VMs. */
    fun announced(): AnnouncedStore = AnnouncedStore(
        revisions = StoreKind.entries.map { byKind[it]?.changedRevision ?: StoreRevision.NONE },
        configVersion = configVersion,
        responseAge = contact.latestOwnResponse?.let { clock() - it },
    )

    /** Puts contents of objects into effect that were held long enough because they might be outdated. */
    fun takeHeld(): Unit = byKind.values.forEach { it.takeHeld() }

    /** Lists the objects of all kinds again if the store was found to be restored from an older copy. */
    fun checkEra(): Unit = byKind.values.forEach { it.checkEra() }

    private inner class ConfigListener : StoreFeedListener {
        override fun listed(objects: List<StoreObject>, continuity: StoreContinuity): Unit = objects.forEach(::activate)

        override fun changed(events: List<StoreEvent>, continuity: StoreContinuity): Unit =
            events.filterNot { it.removed }.forEach { activate(it.changed) }

        private fun activate(stored: StoreObject) {
            val config = decoders.config(stored)
            if (config == null) {
                log.warning("config-unreadable", "object" to stored.name, "revision" to stored.revision)
            } else if (state.replace(config)) {
                log.info("config-in-force", "version" to config.version, "routes" to config.routes.size)
                onConfigChanged()
            } else {
                log.info("config-kept", "version" to configVersion, "received" to config.version)
            }
        }
    }

    private inner class TargetListener : StoreFeedListener {
        override fun listed(objects: List<StoreObject>, continuity: StoreContinuity) {
            val now = clock()
            val before = directory.targets.mapTo(HashSet()) { it.key.name }
            directory.replaceAll(objects.mapNotNull { readOrNull(it, now) }, contact.mayReturnUntilOrNull(now))
            log.info(
                "targets-listed",
                "count" to objects.size,
                "store_was_away" to (continuity != StoreContinuity.CONTINUOUS),
                "store" to continuity,
                "missing" to before - directory.targets.mapTo(HashSet()) { it.key.name },
                "kept" to directory.lapsingNames,
            )
            onTargetsChanged()
        }

        override fun changed(events: List<StoreEvent>, continuity: StoreContinuity) {
            val now = clock()
            for (event in events) {
                val target = if (event.removed) null else readOrNull(event.changed, now)
                if (target == null) {
                    directory.remove(event.changed.name, contact.mayReturnUntilOrNull(now))
                } else {
                    directory.put(target)
                }
                log.info(
                    "target-changed",
                    "name" to event.changed.name,
                    "removed" to event.removed,
                    "started_at" to target?.key?.startedAtMillis,
                    "version" to decoders.contentVersion(StoreKind.TARGETS, event.changed),
                    "draining" to target?.draining,
                    "zone" to target?.zone?.value,
                    "revision" to event.changed.revision,
                    "store" to continuity,
                    "kept_ms" to directory.keptForOrNull(event.changed.name, now)?.inWholeMilliseconds,
                )
            }
            onTargetsChanged()
        }

        private fun readOrNull(stored: StoreObject, now: MonotonicTime): RegisteredTarget? {
            // A target whose name no request can carry is none that registered itself.
            val target = decoders.target(stored, now)?.takeIf { targetNameFieldOrNull(it.key.name) != null }
            if (target == null) log.warning("target-unreadable", "object" to stored.name, "revision" to stored.revision)
            return target
        }
    }

    private inner class EvacuationListener : StoreFeedListener {
        private val zones = HashMap<String, ZoneName>()

        override fun listed(objects: List<StoreObject>, continuity: StoreContinuity) {
            zones.clear()
            objects.forEach(::read)
            apply(mayBeLost = continuity == StoreContinuity.RESTORED)
        }

        override fun changed(events: List<StoreEvent>, continuity: StoreContinuity) {
            for (event in events) if (event.removed) zones.remove(event.changed.name) else read(event.changed)
            apply(mayBeLost = false)
        }

        private fun read(stored: StoreObject) {
            decoders.evacuatedZone(stored)?.let { zones[stored.name] = it }
        }

        private fun apply(mayBeLost: Boolean) {
            val services = state.currentOrNull?.config?.services?.values.orEmpty()
            val coldDuration = services.maxOfOrNull { it.coldDuration } ?: DEFAULT_COLD_DURATION
            directory.replaceEvacuations(zones.values.toSet(), coldDuration, mayBeLost, clock())
            log.info("evacuations", "zones" to zones.values, "kept" to directory.evacuatedZones - zones.values.toSet())
            onTargetsChanged()
        }
    }

    private companion object {
        /** An entry expires after three periods without a report; the news of that takes less than another one. */
        const val HOLD_PERIODS = 4

        /** Used if an evacuation ends before the first config was received. */
        val DEFAULT_COLD_DURATION = 5.seconds
    }
}
