package org.anvilshed.gateway.peers

import org.anvilshed.core.MonotonicTime
import org.anvilshed.core.RegionName
import org.anvilshed.core.SocketAddress
import org.anvilshed.gateway.DecisionLog
import org.anvilshed.gateway.GatewaySettings
import kotlin.time.Duration.Companion.milliseconds

/**
 * Load that a VM announces.
 *
 * @property occupiedSlots slots that this VM's requests in flight occupy, as in [Announcement.occupiedSlots].
 * @property rates returns what this VM knows about targets that state a rate limit.
 * @property crashes returns what this VM knows about requests that may crash targets.
 * @property leaving returns [AnnouncedRate.hashOf] the targets that said recently that they leave.
 */
internal class AnnouncedLoad(
    val occupiedSlots: Map<Int, Int>,
    val rates: () -> List<AnnouncedRate>,
    val crashes: () -> List<AnnouncedCrash>,
    val leaving: () -> List<Int>,
)

/**
 * Sends the announcements of this VM to the others when they are due, and applies the announcements of others.
 *
 * VMs of the same region get announcements several times as often as those of other regions: they share most of their
 * targets with this VM, and traffic between regions is expensive.
 *
 * @param startedAtMillis Unix time of the process start.
 * @param send sends a datagram to a host.
 */
internal class AnnouncementExchange(
    private val currentSettings: () -> GatewaySettings,
    private val entryVms: KnownEntryVms,
    private val startedAtMillis: Long,
    private val log: DecisionLog,
    private val send: (ByteArray, String) -> Unit,
) {
    private val settings: GatewaySettings
        get() = currentSettings()
    private var sequence = 0L
    private var sentInRegionAt = MonotonicTime(Long.MIN_VALUE / 2)
    private var sentBetweenRegionsAt = MonotonicTime(Long.MIN_VALUE / 2)
    private var sentToCandidatesAt = MonotonicTime(Long.MIN_VALUE / 2)
    private var announcedSlots: Map<Int, Int> = emptyMap()

    /** Hosts that the store or a peer named; announcements go there while the host is not live. */
    private val candidateHosts = HashSet<String>()

    /** Sends the announcement to the VMs for which it is due at [now]. */
    fun announce(acceptsCallers: Boolean, store: AnnouncedStore, load: AnnouncedLoad, now: MonotonicTime) {
        val occupiedSlots = load.occupiedSlots
        val inRegionPeriod = if (occupiedSlots == announcedSlots) IDLE_IN_REGION_PERIOD else IN_REGION_PERIOD
        val isInRegionDue = now - sentInRegionAt >= inRegionPeriod
        val isBetweenRegionsDue = now - sentBetweenRegionsAt >= BETWEEN_REGIONS_PERIOD
        val areCandidatesDue = now - sentToCandidatesAt >= CANDIDATE_PERIOD
        if (!isInRegionDue && !isBetweenRegionsDue && !areCandidatesDue) return
        val live = entryVms.live(now)
        val hosts = LinkedHashSet<String>()
        for (peer in live) {
            if (if (isInOwnRegion(peer)) isInRegionDue else isBetweenRegionsDue) hosts.add(peer.control.host)
        }
        if (areCandidatesDue) {
            val liveHosts = live.mapTo(HashSet()) { it.control.host }
            val recentHosts = entryVms.recentlyLive(now).map { it.control.host }
            hosts += (candidateHosts + settings.seeds.map { it.host } + recentHosts) - liveHosts
            sentToCandidatesAt = now
        }
        hosts.remove(settings.listen.control.host)
        if (isInRegionDue) sentInRegionAt = now
        if (isBetweenRegionsDue) sentBetweenRegionsAt = now
        announcedSlots = occupiedSlots
        if (hosts.isEmpty()) return
        val datagram = announcement(acceptsCallers, store, load, live).encode()
        for (host in hosts) send(datagram, host)
    }

    /** Sends the announcement to all live VMs immediately, for urgent changes. */
    fun announceNow(acceptsCallers: Boolean, store: AnnouncedStore, load: AnnouncedLoad, now: MonotonicTime) {
        sentInRegionAt = MonotonicTime(Long.MIN_VALUE / 2)
        sentBetweenRegionsAt = sentInRegionAt
        announce(acceptsCallers, store, load, now)
    }

    /** Applies an announcement of another VM that arrived at [now]; returns what it changed. */
    fun receive(announcement: Announcement, now: MonotonicTime): PeerChange {
        val change = entryVms.receive(announcement, now)
        if (change == PeerChange.IGNORED) return change
        for (host in announcement.peers) if (candidateHosts.size < CANDIDATE_LIMIT) candidateHosts.add(host)
        if (change != PeerChange.NONE) {
            log.info(
                "peer-${change.name.lowercase()}",
                "peer" to announcement.name,
                "taking" to announcement.acceptsCallers,
            )
        }
        return change
    }

    /** Adds the addresses of VMs that the store names, to send announcements there. */
    fun addCandidates(addresses: Collection<SocketAddress>) {
        addresses.forEach { if (candidateHosts.size < CANDIDATE_LIMIT) candidateHosts.add(it.host) }
    }

    private fun announcement(acceptsCallers: Boolean, store: AnnouncedStore, load: AnnouncedLoad, live: List<PeerVm>) =
        Announcement(
            name = settings.name.value,
            startedAtMillis = startedAtMillis,
            zone = settings.placement.zone.value,
            callers = settings.listen.callers.toString(),
            control = settings.listen.control.toString(),
            acceptsCallers = acceptsCallers,
            sequence = ++sequence,
            revisions = store.revisions.map { it.number },
            eras = store.eras,
            configVersion = store.configVersion,
            storeResponseAgeMillis = store.responseAge?.inWholeMilliseconds ?: AnnouncedStore.NO_RESPONSE,
            occupiedSlots = load.occupiedSlots,
            rates = load.rates(),
            crashes = load.crashes(),
            leaving = load.leaving(),
            peers = live.map { it.control.host }.shuffled().take(ANNOUNCED_PEERS),
        )

    private fun isInOwnRegion(peer: PeerVm): Boolean = regionOf(peer) == settings.region

    private fun regionOf(peer: PeerVm): RegionName? = settings.placement.regions[peer.zone]

    private companion object {
        /** Shorter than the usual work of a target, so that peers know of a request before its slot is free again. */
        val IN_REGION_PERIOD = 80.milliseconds
        val IDLE_IN_REGION_PERIOD = 400.milliseconds
        val BETWEEN_REGIONS_PERIOD = 400.milliseconds
        val CANDIDATE_PERIOD = 500.milliseconds
        const val CANDIDATE_LIMIT = 256

        /** Three hosts in each datagram keep it small and still spread all hosts in a few rounds. */
        const val ANNOUNCED_PEERS = 3
    }
}
