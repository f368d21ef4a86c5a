package org.anvilshed.core.routing

import org.anvilshed.core.RegionName
import org.anvilshed.core.ServiceName
import org.anvilshed.core.ZoneName
import kotlin.time.Instant

/**
 * Order in which one VM tries the places for requests of one service; immutable, built by [buildRoutePlan].
 *
 * The order: own zone, peers of the own zone, other zones of the region, regions with a planned move, other regions.
 */
public class RoutePlan internal constructor(
    public val service: ServiceName,
    internal val ownTargets: TargetGroup?,
    internal val ownPeers: PeerGroup,
    internal val otherZones: Array<ZonePlaces>,
    internal val regions: Array<RegionPlaces>,
) {
    /** Regions outside of this VM's region in the order in which they are tried. */
    public val regionOrder: List<RegionName>
        get() = regions.map { it.region }
}

/** Targets and peers in another zone of the own region; targets are used only if this VM owns slots of them. */
internal class ZonePlaces(val targets: TargetGroup?, val peers: PeerGroup)

/** Peers in another region and the planned move there, if any. */
internal class RegionPlaces(val region: RegionName, val peers: PeerGroup, val move: PlannedMove?)

/**
 * Planned move of requests that enter in this VM's region.
 *
 * @property fraction effective fraction at a time of the wall clock, from 0 to 1.
 */
public class PlannedMove(public val to: RegionName, public val fraction: (Instant) -> Double)

/**
 * Returns the plan of a VM in [zone] of [region] for [service]. Build it anew when the bundle or the peers change;
 * loads, health and leaving marks are read from the live objects.
 *
 * @param zonesOfRegion zones of the own region.
 * @param regionOrder other regions, the nearest first.
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
    val places = regionOrder.filter { it != region }.map { other ->
        val peersThere = peers.filter { it.region == other }
        RegionPlaces(other, PeerGroup(peersThere.toTypedArray()), moves.find { it.to == other })
    }
    val otherZones = zonesOfRegion.filter { it != zone }.sorted().map { other ->
        ZonePlaces(targets.groupOrNull(service, other), peers.groupIn(other))
    }
    return RoutePlan(
        service,
        targets.groupOrNull(service, zone),
        peers.groupIn(zone),
        otherZones.toTypedArray(),
        places.sortedBy { if (it.move != null) 0 else 1 }.toTypedArray(),
    )
}

private fun Collection<PeerRoute>.groupIn(zone: ZoneName): PeerGroup =
    PeerGroup(filter { it.zone == zone }.toTypedArray())
