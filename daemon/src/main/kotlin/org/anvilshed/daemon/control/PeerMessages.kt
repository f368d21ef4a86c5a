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
import org.anvilshed.daemon.seats.ShareControl
import org.anvilshed.wire.peer.BundleReply
import org.anvilshed.wire.peer.BundleRequest
import org.anvilshed.wire.peer.Heartbeat
import org.anvilshed.wire.peer.HeartbeatAck
import org.anvilshed.wire.peer.PeerLink
import org.anvilshed.wire.peer.PeerMessage

/** Components that heartbeats and bundles of peers change. */
internal class PeerMessageComponents(
    val directory: PeerDirectory,
    val network: PeerNetwork,
    val shares: ShareControl,
    val bundles: BundleKeeper,
    val targets: TargetRegistry,
    val peerRoutes: PeerRouteRegistry,
    val metrics: DaemonMetrics,
)

/**
 * Handles messages of peers that do not belong to a request, on the control thread.
 *
 * @param onPeerChanged called when the announced state of a peer has changed.
 */
internal class PeerMessages(
    private val components: PeerMessageComponents,
    private val clock: DaemonClock,
    private val control: CoroutineScope,
    private val onPeerChanged: () -> Unit,
) {
    private val dissemination = DisseminationState()

    /** Queues [message] to be handled in the order of arrival; returns at once. */
    fun accept(link: PeerLink, message: PeerMessage) {
        control.launch {
            when (message) {
                is Heartbeat -> handleHeartbeat(link, message)

                is HeartbeatAck -> handleAcknowledgement(link, message)

                is BundleRequest -> sendBundle(link, message)

                is BundleReply -> handleBundle(link, message)

                // The link handles Hello messages itself, and messages of streams are delivered to their streams.
                else -> Unit
            }
        }
    }

    private fun handleHeartbeat(link: PeerLink, message: Heartbeat) {
        val now = clock.now()
        val vm = link.remote.vm
        val leaseGrants = components.shares.grantPeerLease(vm, now)
        link.sendControl(HeartbeatAck(message.sequence, leaseGrants))
        val stateChanged = components.directory.recordHeartbeat(link.remote, message, now)
        components.targets.applyPeerAnnouncement(vm.name, message.targetsLeaving.toSet())
        for (load in message.loads) {
            components.peerRoutes.routeOrNull(
                vm,
                load.service,
            )?.recordReport(load.freeSlots, now)
        }
        disseminate(link, message.bundle, now)
        if (stateChanged) onPeerChanged()
    }

    private fun disseminate(link: PeerLink, advertised: AdvertisedBundle?, now: MonotonicTime) {
        val sender = link.remote.vm.name
        when (val action = dissemination.onHeartbeat(sender, advertised, components.bundles.advertised, now)) {
            DisseminationAction.None -> Unit
            DisseminationAction.AnnounceOwn -> components.network.announceTo(sender)
            is DisseminationAction.RequestBundle -> link.sendControl(BundleRequest(action.version))
            is DisseminationAction.OtherDigest -> components.metrics.recordRejection(BundleRejection.OTHER_DIGEST)
        }
    }

    private suspend fun handleBundle(link: PeerLink, message: BundleReply) {
        val sender = link.remote.vm.name
        val requested = message.version
        if (components.bundles.offer(message.bundle, "peer $sender")) {
            dissemination.onAccepted(components.bundles.state.version)
        } else {
            dissemination.onRejected(sender, requested, clock.now())
        }
    }

    private fun handleAcknowledgement(link: PeerLink, message: HeartbeatAck) {
        val now = clock.now()
        val sentAt = components.network.connectorOf(link)?.recordAcknowledgement(message.sequence) ?: return
        components.directory.recordMessage(link.remote, now)
        components.directory.recordRoundTrip(link.remote.vm, now - sentAt)
        components.shares.peerLeaseReceived(link.remote.vm, message.leaseGrants, sentAt)
    }

    private fun sendBundle(link: PeerLink, message: BundleRequest) {
        val inForce = components.bundles.inForce ?: return
        if (inForce.version >= message.version) link.sendControl(BundleReply(message.version, inForce.signed))
    }
}
