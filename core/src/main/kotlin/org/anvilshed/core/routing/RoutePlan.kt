package org.anvilshed.core.routing

import org.anvilshed.core.RegionName
import org.anvilshed.core.ServiceName
import org.anvilshed.core.ZoneName
import kotlin.time.Instant

/**
 * Order in which one VM tries targets and peers for requests of one service. Immutable; built by [buildRoutePlan].
 *
 * The order is: targets of the own zone, peers of the own zone, other zones of the own region, regions with a planned
 * move, other regions.
 */
public class RoutePlan internal constructor(
    public val service: ServiceName,
    internal val ownTargets: TargetGroup?,
    internal val ownPeers: PeerGroup,
    internal val otherZones: Array<ZoneCandidates>,
    internal val regions: Array<RegionCandidates>,
) {
    /** Regions outside of this VM's region in the order in which they are tried. */
    public val regionOrder: List<RegionName>
        get() = regions.map { it.region }
}

/** Targets and peers in another zone of the own region; a target is used only if this VM owns slots of it. */
internal class ZoneCandidates(val targets: TargetGroup?, val peers: PeerGroup)

/** Peers in another region and the planned move there, if any. */
internal class RegionCandidates(val region: RegionName, val peers: PeerGroup, val move: PlannedMove?)

/**
 * Planned move of requests that enter in this VM's region.
 *
 * @property fraction returns the fraction in effect at a time of the wall clock, from 0 to 1.
 */
public class PlannedMove(public val to: RegionName, public val fraction: (Instant) -> Double)

/**
 * Returns the plan of a VM in [zone] of [region] for [service]. Build a new plan when the bundle or the peers change;
 * load, health and leaving marks are read from the targets and peers at each decision.
 *
 * @param zonesOfRegion zones of the own region.
 * @param regionOrder regions in the order in which they are tried, the nearest first; the own region is ignored.
 */
public fun buildRoutePlan(
    service: ServiceName,
    zone: ZoneName,
    region: RegionName,
    zonesOfRegion: Collection<ZoneName>,
    regionOrder: List<RegionName>,
    moves: List<PlannedMove>,
    targets: TargetTable,
    peers: Collection<PeerRoute>,
): RoutePlan {
    val otherRegions = regionOrder.filter { it != region }.map { other ->
        val peersThere = peers.filter { it.region == other }
        RegionCandidates(other, PeerGroup(peersThere.toTypedArray()), moves.find { it.to == other })
    }
    val otherZones = zonesOfRegion.filter { it != zone }.sorted().map { other ->
        ZoneCandidates(targets.groupOrNull(service, other), peers.groupIn(other))
    }
    return RoutePlan(
        service,
        targets.groupOrNull(service, zone),
        peers.groupIn(zone),
        otherZones.toTypedArray(),
        otherRegions.sortedBy { if (it.move != null) 0 else 1 }.toTypedArray(),
    )
}

private fun Collection<PeerRoute>.groupIn(zone: ZoneName): PeerGroup =
    PeerGroup(filter { it.zone == zone }.toTypedArray())
