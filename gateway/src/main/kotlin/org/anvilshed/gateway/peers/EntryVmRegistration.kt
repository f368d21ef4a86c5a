package org.anvilshed.gateway.peers

import io.vertx.core.json.JsonObject
import kotlinx.coroutines.delay
import org.anvilshed.core.SocketAddress
import org.anvilshed.gateway.DecisionLog
import org.anvilshed.gateway.GatewaySettings
import org.anvilshed.gateway.store.ObjectStore
import org.anvilshed.gateway.store.StoreKind
import org.anvilshed.gateway.store.StoreResult
import kotlin.time.Duration.Companion.seconds

/**
 * Registers this VM in the store, and reads now and then who else is registered.
 *
 * The registration tells a VM that starts whom to announce itself to when no seed lives, and how many VMs share the
 * limits; who is alive is told by announcements.
 */
internal class EntryVmRegistration(
    private val settings: GatewaySettings,
    private val store: ObjectStore,
    private val membership: KnownEntryVms,
    private val peers: AnnouncementExchange,
    private val log: DecisionLog,
) {
    private var registered = false
    private var withdrawn = false

    /** Registers and reads until it is cancelled. */
    suspend fun run() {
        val content = JsonObject().put("control", settings.listen.control.toString())
            .put("zone", settings.placement.zone.value)
        while (true) {
            if (!registered && !withdrawn) {
                val result = store.put(StoreKind.ENTRY_VMS, settings.name.value, content)
                registered = result is StoreResult.Success
                if (!registered) log.info("registration-failed", "result" to result)
            }
            readOthers()
            delay(if (registered) READ_PERIOD else RETRY_PERIOD)
        }
    }

    /** Removes the registration of a VM that is leaving. */
    suspend fun withdraw() {
        withdrawn = true
        val result = store.delete(StoreKind.ENTRY_VMS, settings.name.value)
        if (result !is StoreResult.Success) log.info("withdrawal-failed", "result" to result)
    }

    private suspend fun readOthers() {
        val listing = store.list(StoreKind.ENTRY_VMS, staleAllowed = true)
        if (listing !is StoreResult.Success) return
        membership.replaceRegistered(listing.value.objects.map { it.name })
        peers.addCandidates(
            listing.value.objects.mapNotNull { entry ->
                (entry.content?.getValue("control") as? String)?.let { SocketAddress.parseOrNull(it) }
            },
        )
    }

    private companion object {
        /** A stale listing costs a tenth of a call, and a newcomer announces itself anyway. */
        val READ_PERIOD = 10.seconds
        val RETRY_PERIOD = 1.seconds
    }
}
