package org.anvilshed.daemon.peers

import org.anvilshed.core.MonotonicTime
import org.anvilshed.core.VmIdentity
import org.anvilshed.core.VmName
import org.anvilshed.core.ZoneName
import org.anvilshed.core.membership.PeerContact
import org.anvilshed.core.membership.PeerState
import org.anvilshed.core.membership.PeerTable
import org.anvilshed.core.membership.selectNeighbors
import org.anvilshed.core.membership.selectWatchers
import org.anvilshed.daemon.settings.PeerSettings
import org.anvilshed.daemon.steering.LocalVm
import org.anvilshed.wire.peer.DeclaredState
import org.anvilshed.wire.peer.Heartbeat
import org.anvilshed.wire.peer.Hello
import kotlin.time.Duration

/**
 * Known peers and what they announced about themselves. Changed by the control thread; [peers] may be read by any
 * thread.
 */
internal class PeerDirectory(private val local: LocalVm) {
    private class Details(val hello: Hello) {
        var declared = DeclaredState.STARTING
        var identifierWindow = 0L
        var bundleVersion = 0L
        var roundTrip: Duration? = null
    }

    private val table = PeerTable(local.identity)
    private val details = HashMap<VmIdentity, Details>()
    private val self = PeerContact(local.name, local.zone, local.peerAddress, local.region)

    /** Processes from which messages were received, as of the last [refresh]. */
    @Volatile
    var peers: List<PeerInfo> = emptyList()
        private set

    /** Adds a peer from the settings. */
    fun addConfigured(peer: PeerSettings, now: MonotonicTime) {
        table.addSeed(PeerContact(peer.name, peer.zone, peer.address.toString(), peer.region), now)
    }

    /** Records an acknowledgement, or the [hello] on a new link, from the process that sent [hello]. */
    fun recordMessage(hello: Hello, now: MonotonicTime) {
        detailsOf(hello)
        table.recordMessage(hello.toContact(), hello.vm.incarnation, isLeaving = false, now)
    }

    /** Records a heartbeat from the process that sent [hello]. Returns whether its announced state has changed. */
    fun recordHeartbeat(hello: Hello, heartbeat: Heartbeat, now: MonotonicTime): Boolean {
        val known = detailsOf(hello)
        val changed = known.declared != heartbeat.state
        known.declared = heartbeat.state
        known.identifierWindow = maxOf(known.identifierWindow, heartbeat.identifierWindow)
        known.bundleVersion = heartbeat.bundle?.version ?: 0
        table.recordMessage(hello.toContact(), hello.vm.incarnation, heartbeat.state == DeclaredState.LEAVING, now)
        heartbeat.knownPeers.forEach { table.addReported(it, now) }
        return changed
    }

    /** Records that a heartbeat was sent to [name]. */
    fun recordHeartbeatSent(name: VmName, now: MonotonicTime): Unit = table.recordAttempt(name, now)

    /** Records the time between a heartbeat to [vm] and its acknowledgement. */
    fun recordRoundTrip(vm: VmIdentity, roundTrip: Duration) {
        val known = details[vm] ?: return
        known.roundTrip = minOf(known.roundTrip ?: roundTrip, roundTrip)
    }

    /** Replaces the contacts that were read from the VM list of the platform. */
    fun replaceListed(contacts: List<PeerContact>, now: MonotonicTime): Unit = table.replaceListed(contacts, now)

    /** Updates [peers] to the state at [now] and removes expired processes. */
    fun refresh(now: MonotonicTime) {
        table.removeExpired(now)
        peers = table.peers(now).mapNotNull { peer ->
            val incarnation = peer.incarnation ?: return@mapNotNull null
            val vm = VmIdentity(peer.contact.name, incarnation)
            details[vm]?.toInfo(peer.state, peer.lastMessageAt ?: now)
        }
        details.keys.retainAll(peers.mapTo(HashSet()) { it.vm })
    }

    /** Returns the peers to which heartbeats are sent. */
    fun neighbors(now: MonotonicTime): List<PeerContact> =
        selectNeighbors(self, table.contacts(), table.neighborCandidates(now))

    /** Returns the VMs of [zone] that watch the platform; the first one also writes the status of the zone. */
    fun watchers(zone: ZoneName, isLeaving: Boolean, now: MonotonicTime): List<VmName> =
        selectWatchers(zone, table.liveNames(zone, now) + listOfNotNull(local.name.takeIf { !isLeaving }))

    /** Returns the contacts of all known peers. */
    fun contacts(): List<PeerContact> = table.contacts()

    private fun detailsOf(hello: Hello): Details = details.getOrPut(hello.vm) { Details(hello) }

    private fun Details.toInfo(state: PeerState, lastMessageAt: MonotonicTime) = PeerInfo(
        vm = hello.vm,
        zone = hello.zone,
        region = hello.region,
        callerUrl = hello.callers,
        state = state,
        declared = declared,
        identifierWindow = identifierWindow,
        bundleVersion = bundleVersion,
        lastMessageAt = lastMessageAt,
        roundTrip = roundTrip,
    )
}

private fun Hello.toContact() = PeerContact(vm.name, zone, peers, region)
