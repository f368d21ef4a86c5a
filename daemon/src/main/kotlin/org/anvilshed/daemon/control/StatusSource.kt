package org.anvilshed.daemon.control

import org.anvilshed.core.membership.PeerState
import org.anvilshed.core.routing.TargetState
import org.anvilshed.core.seats.UsableShares
import org.anvilshed.daemon.SharedState
import org.anvilshed.daemon.http.PeerStatus
import org.anvilshed.daemon.http.SeatStatus
import org.anvilshed.daemon.http.StatusReport
import org.anvilshed.daemon.http.TargetStatus
import org.anvilshed.daemon.peers.PeerDirectory
import org.anvilshed.daemon.seats.SeatControl

/** Builds the status report of this process; may be called by any thread. */
internal class StatusSource(
    private val shared: SharedState,
    private val bundles: BundleKeeper,
    private val seats: SeatControl,
    private val directory: PeerDirectory,
    private val heartbeats: HeartbeatSource,
    private val isPlatformStale: () -> Boolean,
) {
    private val local = shared.local
    private val clock = shared.clock

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
            seats = seatStatus(),
            peers = peers.map { peer ->
                PeerStatus(
                    name = peer.vm.name.value,
                    incarnation = peer.vm.incarnation.toString(),
                    zone = peer.zone.value,
                    state = peer.state.name.lowercase(),
                    ageMilliseconds = (now - peer.heardAt).inWholeMilliseconds,
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

    private fun seatStatus(): List<SeatStatus> {
        val zones = bundles.inForce?.bundle?.zones?.values.orEmpty().filter { it.region == local.region }
        return listOf(statusOf("region/${local.region}", seats.useOfRegion())) +
            zones.map { statusOf("zone/${it.name}", seats.useOf(it.name)) }
    }

    private fun statusOf(scope: String, use: UsableShares) =
        SeatStatus(scope, use.shares.count, use.shares.size, use.isValidAt(clock.now()))

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
