package org.anvilshed.gateway.peers

import org.anvilshed.core.MonotonicTime
import org.anvilshed.core.RegionName
import org.anvilshed.core.SocketAddress
import org.anvilshed.gateway.DecisionLog
import org.anvilshed.gateway.GatewaySettings
import kotlin.time.Duration.Companion.milliseconds

/**
 * Decides whom to tell what, and when, and what an announcement changes.
 *
 * VMs of the own region are told about the load several times as often as others: they share most of their targets, and
 * bytes between regions are dear.
 */
internal class AnnouncementExchange(
    private val settings: GatewaySettings,
    private val membership: KnownEntryVms,
    private val startedAtMillis: Long,
    private val log: DecisionLog,
    private val send: (ByteArray, String) -> Unit,
) {
    private var sequence = 0L
    private var lastNearAt = MonotonicTime(Long.MIN_VALUE / 2)
    private var lastFarAt = MonotonicTime(Long.MIN_VALUE / 2)
    private var lastSeedAt = MonotonicTime(Long.MIN_VALUE / 2)
    private var lastOccupied: Map<Int, Int> = emptyMap()

    /** Hosts of VMs that the store or a peer named and that were not heard yet. */
    private val candidates = HashSet<String>()

    /** Announces this VM to those whose turn it is at [now]. */
    fun announce(acceptsCallers: Boolean, revisions: List<Long>, occupiedSlots: Map<Int, Int>, now: MonotonicTime) {
        val near = now - lastNearAt >= if (occupiedSlots == lastOccupied) IDLE_NEAR_PERIOD else NEAR_PERIOD
        val far = now - lastFarAt >= FAR_PERIOD
        val seeds = now - lastSeedAt >= SEED_PERIOD
        if (!near && !far && !seeds) return
        val live = membership.live(now)
        val hosts = LinkedHashSet<String>()
        for (peer in live) {
            if (if (isNear(peer)) near else far) hosts.add(peer.control.host)
        }
        if (seeds) {
            val heard = live.mapTo(HashSet()) { it.control.host }
            hosts +=
                (
                    candidates + settings.seeds.map {
                        it.host
                    } + membership.recentlyReceived(now).map { it.control.host }
                    ) -
                heard
            lastSeedAt = now
        }
        hosts.remove(settings.listen.control.host)
        if (near) lastNearAt = now
        if (far) lastFarAt = now
        lastOccupied = occupiedSlots
        if (hosts.isEmpty()) return
        val datagram = announcement(acceptsCallers, revisions, occupiedSlots, live).encode()
        for (host in hosts) send(datagram, host)
    }

    /** Tells all live VMs at once, for changes that can't wait. */
    fun announceNow(acceptsCallers: Boolean, revisions: List<Long>, occupiedSlots: Map<Int, Int>, now: MonotonicTime) {
        lastNearAt = MonotonicTime(Long.MIN_VALUE / 2)
        lastFarAt = lastNearAt
        announce(acceptsCallers, revisions, occupiedSlots, now)
    }

    /** Takes over an announcement; returns the peer if it may know something newer. */
    fun receive(announcement: Announcement, now: MonotonicTime): PeerChange {
        val change = membership.receive(announcement, now)
        if (change == PeerChange.IGNORED) return change
        for (host in announcement.peers) if (candidates.size < CANDIDATES_LIMIT) candidates.add(host)
        if (change != PeerChange.NONE) {
            log.info(
                "peer-${change.name.lowercase()}",
                "peer" to announcement.name,
                "taking" to announcement.acceptsCallers,
            )
        }
        return change
    }

    /** Takes over the addresses of VMs that the store names. */
    fun addCandidates(addresses: Collection<SocketAddress>) {
        addresses.forEach { if (candidates.size < CANDIDATES_LIMIT) candidates.add(it.host) }
    }

    private fun announcement(
        acceptsCallers: Boolean,
        revisions: List<Long>,
        occupiedSlots: Map<Int, Int>,
        live: List<PeerVm>,
    ) = Announcement(
        name = settings.name.value,
        startedAtMillis = startedAtMillis,
        zone = settings.placement.zone.value,
        callers = settings.listen.callers.toString(),
        control = settings.listen.control.toString(),
        acceptsCallers = acceptsCallers,
        sequence = ++sequence,
        revisions = revisions,
        occupiedSlots = occupiedSlots,
        peers = live.map { it.control.host }.shuffled().take(NAMED_PEERS),
    )

    private fun isNear(peer: PeerVm): Boolean = regionOf(peer) == settings.region

    private fun regionOf(peer: PeerVm): RegionName? = settings.placement.regions[peer.zone]

    private companion object {
        /** Shorter than the usual work, so that a send is known before its slot could be taken again. */
        val NEAR_PERIOD = 80.milliseconds
        val IDLE_NEAR_PERIOD = 400.milliseconds
        val FAR_PERIOD = 400.milliseconds
        val SEED_PERIOD = 500.milliseconds
        const val CANDIDATES_LIMIT = 256

        /** Three names a datagram spread the membership in a few rounds and keep the datagram small. */
        const val NAMED_PEERS = 3
    }
}
