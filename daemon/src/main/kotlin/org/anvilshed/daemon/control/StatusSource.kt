package org.anvilshed.daemon.control

import org.anvilshed.core.membership.PeerState
import org.anvilshed.core.routing.TargetState
import org.anvilshed.core.seats.UsableShares
import org.anvilshed.daemon.SharedState
import org.anvilshed.daemon.http.PeerStatus
import org.anvilshed.daemon.http.ShareStatus
import org.anvilshed.daemon.http.StatusReport
import org.anvilshed.daemon.http.TargetStatus
import org.anvilshed.daemon.peers.PeerDirectory
import org.anvilshed.daemon.seats.ShareControl

/** Builds the status report of this process. May be used by any thread. */
internal class StatusSource(
    private val shared: SharedState,
    private val bundles: BundleKeeper,
    private val shares: ShareControl,
    private val directory: PeerDirectory,
    private val heartbeats: HeartbeatSource,
    private val isPlatformStale: () -> Boolean,
) {
    private val local = shared.local
    private val clock = shared.clock

    /** Returns the present status. */
    fun report(): StatusReport {
        val now = clock.now()
        val peers = directory.peers
        return StatusReport(
            name = local.name.value,
            incarnation = local.identity.incarnation.toString(),
            zone = local.zone.value,
            region = local.region.value,
            state = heartbeats.state.name.lowercase(),
            bundleVersion = bundles.state.version,
            bundleDigest = bundles.inForce?.digest?.value,
            shares = shareStatuses(),
            peers = peers.map { peer ->
                PeerStatus(
                    name = peer.vm.name.value,
                    incarnation = peer.vm.incarnation.toString(),
                    zone = peer.zone.value,
                    state = peer.state.name.lowercase(),
                    ageMilliseconds = (now - peer.lastMessageAt).inWholeMilliseconds,
                    bundleVersion = peer.bundleVersion,
                )
            },
            targets = shared.targets.table.targets.sortedBy { it.name }.map(::targetStatus),
            requestsInFlight = shared.drain.requestsInFlight,
            records = shared.records.recordCount,
            isPlatformStale = isPlatformStale(),
            staleMeasurements = peers.filter {
                it.state != PeerState.ALIVE && it.state != PeerState.LEAVING
            }.map { it.vm.name.value },
        )
    }

    private fun shareStatuses(): List<ShareStatus> {
        val zones = bundles.inForce?.bundle?.zones?.values.orEmpty().filter { it.region == local.region }
        return listOf(statusOf("region/${local.region}", shares.usableSharesOfRegion())) +
            zones.map { statusOf("zone/${it.name}", shares.usableSharesOf(it.name)) }
    }

    private fun statusOf(scope: String, usable: UsableShares) =
        ShareStatus(scope, usable.shares.count, usable.shares.size, usable.isValidAt(clock.now()))

    private fun targetStatus(target: TargetState): TargetStatus {
        val now = clock.now()
        val state = when {
            target.isLeaving(clock.wallNow()) -> "leaving"
            target.isEjected(now) -> "ejected"
            else -> "active"
        }
        return TargetStatus(
            name = target.name.value,
            service = target.service.value,
            state = state,
            ownedSlots = shared.limits.poolOf(target.zone).owned(target.name),
            inFlight = target.inFlight,
        )
    }
}
