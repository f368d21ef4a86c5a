package org.anvilshed.daemon.control

import org.anvilshed.core.RegionName
import org.anvilshed.core.ServiceName
import org.anvilshed.core.bundle.VerifiedBundle
import org.anvilshed.core.bundle.effectiveFraction
import org.anvilshed.core.execution.IdentifierWindows
import org.anvilshed.core.lifecycle.DrainState
import org.anvilshed.core.lookup.EntryCandidate
import org.anvilshed.core.lookup.EntrySelector
import org.anvilshed.core.routing.PeerLocation
import org.anvilshed.core.routing.PeerRouteRegistry
import org.anvilshed.core.routing.PlannedMove
import org.anvilshed.core.routing.RoutePlan
import org.anvilshed.core.routing.TargetRegistry
import org.anvilshed.core.routing.buildRoutePlan
import org.anvilshed.daemon.DaemonClock
import org.anvilshed.daemon.limits.SeatLimits
import org.anvilshed.daemon.limits.ServiceRuntimes
import org.anvilshed.daemon.peers.PeerDirectory
import org.anvilshed.daemon.peers.PeerInfo
import org.anvilshed.daemon.peers.PeerLinks
import org.anvilshed.daemon.steering.LocalVm
import org.anvilshed.daemon.steering.Steering
import org.anvilshed.daemon.steering.SteeringReference
import kotlin.time.Duration

/** What the steering of requests is built from and published to. */
internal class SteeringParts(
    val targets: TargetRegistry,
    val peerRoutes: PeerRouteRegistry,
    val runtimes: ServiceRuntimes,
    val limits: SeatLimits,
    val reference: SteeringReference,
)

/** Builds the snapshot for the request path anew when the bundle or the peers change. Used on the control thread. */
internal class SteeringControl(
    private val local: LocalVm,
    private val clock: DaemonClock,
    private val windows: IdentifierWindows,
    private val drain: DrainState,
    private val peers: PeerDirectory,
    private val links: PeerLinks,
    private val parts: SteeringParts,
) {
    private val clientBlocks = ClientBlocks()
    private var verified: VerifiedBundle? = null
    private var locations: List<PeerLocation> = emptyList()
    private var regionOrder: List<RegionName> = emptyList()
    private var candidates: List<EntryCandidate> = emptyList()
    private var plans: Map<ServiceName, RoutePlan> = emptyMap()
    private var directory = EntrySelector(emptyList())

    /** Applies a bundle that came into force. */
    fun applyBundle(inForce: VerifiedBundle) {
        verified = inForce
        val bundle = inForce.bundle
        parts.targets.applyBundle(bundle, clock.now())
        parts.runtimes.applyBundle(bundle, clock.now())
        parts.limits.applyBundle(bundle)
        clientBlocks.apply(bundle.clientBlocks)
        locations = emptyList()
        plans = emptyMap()
        refresh()
    }

    /** Applies the present state of the peers; to be called after each change and every 100 ms or so. */
    fun refresh() {
        peers.refresh(clock.now())
        val inForce = verified ?: return
        val known = peers.peers
        val plansChanged = refreshPlans(inForce, known)
        for (peer in known) {
            parts.peerRoutes.setUsable(peer.vm, peer.isServing && links.linkTo(peer.vm) != null)
        }
        val present = known.filter { it.isServing }.map { it.toCandidate() } + listOfNotNull(ownCandidate())
        val candidatesChanged = present != candidates
        if (candidatesChanged) {
            candidates = present
            directory = EntrySelector(present)
        }
        val current = parts.reference.current
        if (plansChanged || candidatesChanged || current?.verified !== inForce) {
            parts.reference.publish(Steering(inForce, plans, directory, clientBlocks.table))
        }
    }

    private fun refreshPlans(inForce: VerifiedBundle, known: List<PeerInfo>): Boolean {
        val bundle = inForce.bundle
        val newLocations = known.map { PeerLocation(it.vm, it.zone, it.region) }
        val newOrder = orderOfRegions(bundle.regions.keys, known)
        if (newLocations == locations && newOrder == regionOrder && plans.isNotEmpty()) return false
        locations = newLocations
        regionOrder = newOrder
        parts.peerRoutes.applyPeers(newLocations, bundle.services.keys)
        plans = bundle.services.keys.associateWith { planOf(it, inForce) }
        return true
    }

    private fun planOf(service: ServiceName, inForce: VerifiedBundle): RoutePlan {
        val bundle = inForce.bundle
        val moves = bundle.moves.filter { it.service == service && it.from == local.region }
        return buildRoutePlan(
            service = service,
            zone = local.zone,
            region = local.region,
            zonesOfRegion = bundle.zones.values.filter { it.region == local.region }.map { it.name },
            regionOrder = regionOrder,
            moves = moves.map { move ->
                PlannedMove(move.to) { wallNow -> bundle.effectiveFraction(move, inForce.activation, wallNow) }
            },
            targets = parts.targets.table,
            peers = parts.peerRoutes.routesFor(service),
        )
    }

    /** Regions by the shortest measured round trip to one of their peers; unmeasured ones come last, by name. */
    private fun orderOfRegions(regions: Set<RegionName>, known: List<PeerInfo>): List<RegionName> {
        val nearest = known.groupBy { it.region }.mapValues { (_, peers) ->
            peers.minOf { it.roundTrip ?: Duration.INFINITE }
        }
        return regions.filter { it != local.region }.sorted().sortedBy { nearest[it] ?: Duration.INFINITE }
    }

    private fun ownCandidate(): EntryCandidate? = if (drain.isLeaving) {
        null
    } else {
        EntryCandidate(
            vm = local.identity,
            zone = local.zone,
            region = local.region,
            url = local.callers,
            identifierWindow = windows.currentWindow(clock.now()),
            weight = 1.0,
        )
    }
}

private fun PeerInfo.toCandidate() = EntryCandidate(vm, zone, region, callers, identifierWindow, weight = 1.0)
