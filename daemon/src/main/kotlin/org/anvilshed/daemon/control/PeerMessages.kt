package org.anvilshed.daemon.control

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import org.anvilshed.core.MonotonicTime
import org.anvilshed.core.bundle.BundleRejection
import org.anvilshed.core.membership.AdvertisedBundle
import org.anvilshed.core.membership.DisseminationAction
import org.anvilshed.core.membership.DisseminationState
import org.anvilshed.core.routing.PeerRouteRegistry
import org.anvilshed.core.routing.TargetRegistry
import org.anvilshed.daemon.DaemonClock
import org.anvilshed.daemon.metrics.DaemonMetrics
import org.anvilshed.daemon.peers.PeerDirectory
import org.anvilshed.daemon.peers.PeerNetwork
import org.anvilshed.daemon.seats.SeatControl
import org.anvilshed.wire.peer.BundleReply
import org.anvilshed.wire.peer.BundleRequest
import org.anvilshed.wire.peer.Heartbeat
import org.anvilshed.wire.peer.HeartbeatAck
import org.anvilshed.wire.peer.PeerLink
import org.anvilshed.wire.peer.PeerMessage

/** What heartbeats and bundles of peers change. */
internal class PeerMessageParts(
    val directory: PeerDirectory,
    val network: PeerNetwork,
    val seats: SeatControl,
    val bundles: BundleKeeper,
    val targets: TargetRegistry,
    val peerRoutes: PeerRouteRegistry,
    val metrics: DaemonMetrics,
)

/** Handles the messages of peers that belong to no request, on the control thread. */
internal class PeerMessages(
    private val parts: PeerMessageParts,
    private val clock: DaemonClock,
    private val control: CoroutineScope,
    private val onPeerChanged: () -> Unit,
) {
    private val dissemination = DisseminationState()

    /** Handles [message] in the order of arrival; returns at once. */
    fun accept(link: PeerLink, message: PeerMessage) {
        control.launch {
            when (message) {
                is Heartbeat -> heartbeat(link, message)

                is HeartbeatAck -> acknowledged(link, message)

                is BundleRequest -> sendBundle(link, message)

                is BundleReply -> offer(link, message)

                // Greetings are read by the link; messages of streams do not come here.
                else -> Unit
            }
        }
    }

    private fun heartbeat(link: PeerLink, message: Heartbeat) {
        val now = clock.now()
        val vm = link.remote.vm
        val promises = parts.seats.promiseTo(vm, now)
        link.sendControl(HeartbeatAck(message.sequence, promises))
        val stateChanged = parts.directory.heard(link.remote, message, now)
        parts.targets.applyPeerAnnouncement(vm.name, message.targetsLeaving.toSet())
        for (load in message.loads) parts.peerRoutes.routeOrNull(vm, load.service)?.recordReport(load.freeSlots, now)
        disseminate(link, message.bundle, now)
        if (stateChanged) onPeerChanged()
    }

    private fun disseminate(link: PeerLink, theirs: AdvertisedBundle?, now: MonotonicTime) {
        val sender = link.remote.vm.name
        when (val action = dissemination.onHeartbeat(sender, theirs, parts.bundles.advertised, now)) {
            DisseminationAction.None -> Unit
            DisseminationAction.AnnounceOwn -> parts.network.announceTo(sender)
            is DisseminationAction.RequestBundle -> link.sendControl(BundleRequest(action.version))
            is DisseminationAction.OtherDigest -> parts.metrics.recordRejection(BundleRejection.OTHER_DIGEST)
        }
    }

    private suspend fun offer(link: PeerLink, message: BundleReply) {
        val sender = link.remote.vm.name
        val requested = message.version
        if (parts.bundles.offer(message.bundle, "peer $sender")) {
            dissemination.onAccepted(parts.bundles.state.version)
        } else {
            dissemination.onRejected(sender, requested, clock.now())
        }
    }

    private fun acknowledged(link: PeerLink, message: HeartbeatAck) {
        val now = clock.now()
        val sentAt = parts.network.connectorOf(link)?.acknowledged(message.sequence) ?: return
        parts.directory.heard(link.remote, now)
        parts.directory.measured(link.remote.vm, now - sentAt)
        parts.seats.promiseReceived(link.remote.vm, message.leaseGrants, sentAt)
    }

    private fun sendBundle(link: PeerLink, message: BundleRequest) {
        val inForce = parts.bundles.inForce ?: return
        if (inForce.version >= message.version) link.sendControl(BundleReply(message.version, inForce.signed))
    }
}
