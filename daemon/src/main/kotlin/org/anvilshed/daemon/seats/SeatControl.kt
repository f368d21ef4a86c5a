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
import org.anvilshed.daemon.limits.SeatLimits
import org.anvilshed.daemon.limits.ServiceRuntimes
import org.anvilshed.daemon.limits.WaitingRequests
import org.anvilshed.daemon.steering.LocalVm
import java.util.concurrent.ConcurrentHashMap
import kotlin.random.Random
import kotlin.time.Duration

/**
 * Seats of this process: in its region, in its zone, and in the other zones of the region, whose ledgers it joins when
 * they have no live member of their own. Used on the control thread; the rights may be read by any thread.
 */
internal class SeatControl(
    private val local: LocalVm,
    private val access: SeatAccess,
    private val random: Random,
    private val control: CoroutineScope,
) {
    private class Running(val loop: SeatLoop, val job: Job)

    private val zones = ConcurrentHashMap<ZoneName, Running>()

    @Volatile
    private var region: Running? = null
    private var bundle: Bundle? = null
    private var leaving = false

    /** Returns the right to use the seats of [zone]. */
    fun useOf(zone: ZoneName): UsableShares = zones[zone]?.loop?.use() ?: UsableShares.NONE

    /** Returns the right to use the seats of the own region. */
    fun useOfRegion(): UsableShares = region?.loop?.use() ?: UsableShares.NONE

    /** Applies [newBundle]: joins the ledgers of new scopes and passes new intents on. */
    fun applyBundle(newBundle: Bundle, limits: SeatLimits, runtimes: ServiceRuntimes, waiting: WaitingRequests) {
        bundle = newBundle
        val intent = newBundle.shareSettings()
        loops().forEach { it.holder.changeSettings(intent, access.clock.now()) }
        if (leaving) return
        if (region == null) {
            region = start(ShareScope.OfRegion(local.region), intent) { use ->
                waiting.serveAll()
                AppliedShares(use, fits = true)
            }
        }
        for (zone in newBundle.zones.values.filter { it.region == local.region }) {
            if (zones.containsKey(zone.name)) continue
            zones[zone.name] = start(ShareScope.OfZone(zone.name), intent) { use ->
                applyZone(zone.name, use, limits, runtimes).also { waiting.serveAll() }
            }
        }
    }

    /** Returns the keys of the ledgers from which [member] will not be removed; see [ShareHolder.grantPeerLease]. */
    fun promiseTo(member: VmIdentity, now: MonotonicTime): Set<String> =
        loops().filter { it.holder.grantPeerLease(member, now) }.mapTo(HashSet()) { it.holder.scope.key }

    /** Records promises that [guardian] gave in the acknowledgement of a heartbeat sent at [sentAt]. */
    fun promiseReceived(guardian: VmIdentity, promises: Set<String>, sentAt: MonotonicTime) {
        for (loop in loops()) {
            if (loop.holder.scope.key in promises) loop.holder.peerLeaseReceived(guardian, sentAt)
        }
    }

    fun changeDemand(requestsPerSecond: Double): Unit = loops().forEach { it.holder.changeDemand(requestsPerSecond) }

    /** Gives up all rights until the next renewals. */
    fun suspendRights(): Unit = loops().forEach(SeatLoop::suspendRights)

    /** Begins a graceful shutdown: no more seats are acquired. */
    fun announceLeaving() {
        leaving = true
        loops().forEach { it.holder.announceLeaving() }
    }

    /** Releases all seats; gives up after [limit], for example during an outage of the platform. */
    suspend fun finish(limit: Duration): Boolean {
        announceLeaving()
        loops().forEach { it.holder.finish(access.clock.now()) }
        val jobs = (zones.values + listOfNotNull(region)).map { it.job }
        return withTimeoutOrNull(limit) { jobs.joinAll() } != null
    }

    private fun loops(): List<SeatLoop> = (zones.values + listOfNotNull(region)).map { it.loop }

    private fun start(scope: ShareScope, intent: ShareSettings, apply: (UsableShares) -> AppliedShares): Running {
        val holder = ShareHolder(scope, local.identity, local.zone, local.peers, intent, random)
        val loop = SeatLoop(holder, access, apply)
        return Running(loop, control.launch { loop.run() })
    }

    private fun applyZone(
        zone: ZoneName,
        use: UsableShares,
        limits: SeatLimits,
        runtimes: ServiceRuntimes,
    ): AppliedShares {
        val targets = bundle?.targets?.values.orEmpty().filter { it.zone == zone }
        val pool = limits.poolOf(zone)
        val usage = pool.update(targets, use, access.clock.now())
        if (zone == local.zone) {
            for (runtime in runtimes.all) {
                runtime.queue.resize(targets.filter { it.service == runtime.name }.sumOf { pool.owned(it.name) })
            }
        }
        return usage
    }
}
