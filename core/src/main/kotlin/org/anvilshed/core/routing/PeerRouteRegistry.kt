package org.anvilshed.core.routing

import org.anvilshed.core.RegionName
import org.anvilshed.core.ServiceName
import org.anvilshed.core.VmIdentity
import org.anvilshed.core.ZoneName

/** Zone and region of a peer. */
public data class PeerLocation(public val vm: VmIdentity, public val zone: ZoneName, public val region: RegionName)

/**
 * Holds one [PeerRoute] for each peer and service. Reads use a snapshot and take no lock; changes are guarded by the
 * monitor of this object.
 */
public class PeerRouteRegistry {
    @Volatile
    private var routes: Map<VmIdentity, Map<ServiceName, PeerRoute>> = emptyMap()

    /**
     * Replaces the known peers and services. The routes of peers that stay at their location keep their state. The
     * caller then builds new [RoutePlan]s.
     */
    public fun applyPeers(peers: Collection<PeerLocation>, services: Collection<ServiceName>): Unit =
        synchronized(this) {
            val previous = routes
            routes = peers.associate { peer ->
                val known = previous[peer.vm].orEmpty()
                peer.vm to services.associateWith { service ->
                    known[service]?.takeIf { it.zone == peer.zone && it.region == peer.region }
                        ?: PeerRoute(peer.vm, service, peer.zone, peer.region)
                }
            }
            previous.forEach { (vm, byService) ->
                byService.forEach { (service, route) -> if (routeOrNull(vm, service) !== route) route.isUsable = false }
            }
        }

    /** Sets whether [vm] may be chosen, that is whether it is alive, connected and not leaving. */
    public fun setUsable(vm: VmIdentity, usable: Boolean) {
        routes[vm]?.values?.forEach { it.isUsable = usable }
    }

    /** Returns the route to [vm] for [service], or `null` if either is not known. */
    public fun routeOrNull(vm: VmIdentity, service: ServiceName): PeerRoute? = routes[vm]?.get(service)

    /** Returns all routes for [service] in the order of the peers' names. */
    public fun routesFor(service: ServiceName): List<PeerRoute> =
        routes.values.mapNotNull { it[service] }.sortedBy { it.vm.toString() }
}
