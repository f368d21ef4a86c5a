package org.anvilshed.daemon.seats

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.joinAll
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.anvilshed.core.MonotonicTime
import org.anvilshed.core.VmIdentity
import org.anvilshed.core.ZoneName
import org.anvilshed.core.bundle.Bundle
import org.anvilshed.core.seats.AppliedShares
import org.anvilshed.core.seats.ShareHolder
import org.anvilshed.core.seats.ShareScope
import org.anvilshed.core.seats.ShareSettings
import org.anvilshed.core.seats.UsableShares
import org.anvilshed.core.seats.shareSettings
import org.anvilshed.daemon.limits.ServiceQueues
import org.anvilshed.daemon.limits.ServiceRuntimes
import org.anvilshed.daemon.limits.ShareLimits
import org.anvilshed.daemon.steering.LocalVm
import java.util.concurrent.ConcurrentHashMap
import kotlin.random.Random
import kotlin.time.Duration

/**
 * Shares of this process: of its region, of its zone, and of the other zones of the region, whose ledgers it joins when
 * they have no live member of their own zone. Used on the control thread; the usable shares may be read by any thread.
 */
internal class ShareControl(
    private val local: LocalVm,
    private val access: ShareLedgerAccess,
    private val random: Random,
    private val control: CoroutineScope,
) {
    private class Running(val loop: ShareLedgerLoop, val job: Job)

    private val zones = ConcurrentHashMap<ZoneName, Running>()

    @Volatile
    private var region: Running? = null
    private var bundle: Bundle? = null
    private var leaving = false

    /** Returns the shares of [zone] that this process may use now. */
    fun usableSharesOf(zone: ZoneName): UsableShares = zones[zone]?.loop?.usableShares() ?: UsableShares.NONE

    /** Returns the shares of the own region that this process may use now. */
    fun usableSharesOfRegion(): UsableShares = region?.loop?.usableShares() ?: UsableShares.NONE

    /** Applies [newBundle]: changes the share settings of all scopes and joins the ledgers of new scopes. */
    fun applyBundle(newBundle: Bundle, limits: ShareLimits, runtimes: ServiceRuntimes, queues: ServiceQueues) {
        bundle = newBundle
        val settings = newBundle.shareSettings()
        loops().forEach { it.holder.changeSettings(settings, access.clock.now()) }
        if (leaving) return
        if (region == null) {
            region = start(ShareScope.OfRegion(local.region), settings) { usableShares ->
                queues.serveAll()
                AppliedShares(usableShares, fits = true)
            }
        }
        for (zone in newBundle.zones.values.filter { it.region == local.region }) {
            if (zones.containsKey(zone.name)) continue
            zones[zone.name] = start(ShareScope.OfZone(zone.name), settings) { usableShares ->
                applyZone(zone.name, usableShares, limits, runtimes).also { queues.serveAll() }
            }
        }
    }

    /**
     * Grants leases to [member] and returns the keys of the ledgers for which they were granted. This process does not
     * remove [member] from these ledgers as long as a lease lasts; see [ShareHolder.grantPeerLease].
     */
    fun grantPeerLease(member: VmIdentity, now: MonotonicTime): Set<String> =
        loops().filter { it.holder.grantPeerLease(member, now) }.mapTo(HashSet()) { it.holder.scope.key }

    /** Records that [monitor] granted leases for [ledgerKeys] in its answer to a heartbeat sent at [sentAt]. */
    fun peerLeaseReceived(monitor: VmIdentity, ledgerKeys: Set<String>, sentAt: MonotonicTime) {
        for (loop in loops()) {
            if (loop.holder.scope.key in ledgerKeys) loop.holder.peerLeaseReceived(monitor, sentAt)
        }
    }

    /** Sets the demand by which shares are divided between the VMs. */
    fun changeDemand(requestsPerSecond: Double): Unit = loops().forEach { it.holder.changeDemand(requestsPerSecond) }

    /** Stops using all shares until the next renewal of each ledger. */
    fun suspendShares(): Unit = loops().forEach(ShareLedgerLoop::suspendShares)

    /** Starts the graceful shutdown: no more shares are acquired. */
    fun announceLeaving() {
        leaving = true
        loops().forEach { it.holder.announceLeaving() }
    }

    /**
     * Releases all shares. Returns `false` if they were not released within [limit], for example during an outage of
     * the platform.
     */
    suspend fun finish(limit: Duration): Boolean {
        announceLeaving()
        loops().forEach { it.holder.finish(access.clock.now()) }
        val jobs = (zones.values + listOfNotNull(region)).map { it.job }
        return withTimeoutOrNull(limit) { jobs.joinAll() } != null
    }

    private fun loops(): List<ShareLedgerLoop> = (zones.values + listOfNotNull(region)).map { it.loop }

    private fun start(scope: ShareScope, settings: ShareSettings, apply: (UsableShares) -> AppliedShares): Running {
        val holder = ShareHolder(scope, local.identity, local.zone, local.peerAddress, settings, random)
        val loop = ShareLedgerLoop(holder, access, apply)
        return Running(loop, control.launch { loop.run() })
    }

    private fun applyZone(
        zone: ZoneName,
        usableShares: UsableShares,
        limits: ShareLimits,
        runtimes: ServiceRuntimes,
    ): AppliedShares {
        val targets = bundle?.targets?.values.orEmpty().filter { it.zone == zone }
        val pool = limits.poolOf(zone)
        val usage = pool.update(targets, usableShares, access.clock.now())
        if (zone == local.zone) {
            for (runtime in runtimes.all) {
                runtime.queue.resize(targets.filter { it.service == runtime.name }.sumOf { pool.owned(it.name) })
            }
        }
        return usage
    }
}
