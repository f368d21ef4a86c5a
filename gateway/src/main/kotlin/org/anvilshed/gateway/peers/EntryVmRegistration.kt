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
 * Registers this VM in the store, and periodically reads which other VMs are registered.
 *
 * From the registrations, a starting VM learns the addresses for its announcements when no seed is alive, and all VMs
 * learn how many of them share the limits. They do not show which VMs are alive; announcements do.
 */
internal class EntryVmRegistration(
    private val settings: GatewaySettings,
    private val store: ObjectStore,
    private val entryVms: KnownEntryVms,
    private val announcements: AnnouncementExchange,
    private val log: DecisionLog,
) {
    /** Era of the store that has the registration; `null` if none has it. */
    private var registeredEra: Long? = null
    private var isWithdrawn = false

    /** Registers this VM, with retries, and reads the registrations until cancelled. */
    suspend fun run() {
        val content = JsonObject().put("control", settings.listen.control.toString())
            .put("zone", settings.placement.zone.value)
        while (true) {
            // A restored store may lack the registration.
            if (registeredEra != store.era && !isWithdrawn) {
                val result = store.put(StoreKind.ENTRY_VMS, settings.name.value, content)
                registeredEra = (result as? StoreResult.Success)?.value
                if (registeredEra == null) log.info("registration-failed", "result" to result)
            }
            readRegistrations()
            delay(if (registeredEra != null) READ_PERIOD else RETRY_PERIOD)
        }
    }

    /** Removes the registration of this VM before it stops. */
    suspend fun withdraw() {
        isWithdrawn = true
        val result = store.delete(StoreKind.ENTRY_VMS, settings.name.value)
        if (result !is StoreResult.Success) log.info("withdrawal-failed", "result" to result)
    }

    private suspend fun readRegistrations() {
        val listing = store.list(StoreKind.ENTRY_VMS, staleAllowed = true)
        if (listing !is StoreResult.Success) return
        entryVms.replaceRegistered(listing.value.objects.map { it.name })
        announcements.addCandidates(
            listing.value.objects.mapNotNull { entry ->
                (entry.content?.getValue("control") as? String)?.let { SocketAddress.parseOrNull(it) }
            },
        )
    }

    private companion object {
        /** Long and with stale listings, which are charged a tenth of a call: a new VM announces itself anyway. */
        val READ_PERIOD = 10.seconds
        val RETRY_PERIOD = 1.seconds
    }
}
