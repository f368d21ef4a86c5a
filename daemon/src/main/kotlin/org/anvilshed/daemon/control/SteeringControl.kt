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
import org.anvilshed.daemon.limits.ServiceRuntimes
import org.anvilshed.daemon.limits.ShareLimits
import org.anvilshed.daemon.peers.PeerDirectory
import org.anvilshed.daemon.peers.PeerInfo
import org.anvilshed.daemon.peers.PeerLinks
import org.anvilshed.daemon.steering.LocalVm
import org.anvilshed.daemon.steering.SteeringReference
import org.anvilshed.daemon.steering.SteeringSnapshot
import kotlin.time.Duration

/** State from which the [SteeringSnapshot] is built, and [reference], to which it is published. */
internal class SteeringComponents(
    val targets: TargetRegistry,
    val peerRoutes: PeerRouteRegistry,
    val runtimes: ServiceRuntimes,
    val limits: ShareLimits,
    val reference: SteeringReference,
)

/** Rebuilds the snapshot for the request path when the bundle or the peers change. Used on the control thread. */
internal class SteeringControl(
    private val local: LocalVm,
    private val clock: DaemonClock,
    private val windows: IdentifierWindows,
    private val drain: DrainState,
    private val peers: PeerDirectory,
    private val links: PeerLinks,
    private val components: SteeringComponents,
) {
    private val clientBlocks = ClientBlocks()
    private var verified: VerifiedBundle? = null
    private var locations: List<PeerLocation> = emptyList()
    private var regionOrder: List<RegionName> = emptyList()
    private var candidates: List<EntryCandidate> = emptyList()
    private var plans: Map<ServiceName, RoutePlan> = emptyMap()
    private var entrySelector = EntrySelector(emptyList())

    /** Applies [inForce], which has come into force. */
    fun applyBundle(inForce: VerifiedBundle) {
        verified = inForce
        val bundle = inForce.bundle
        components.targets.applyBundle(bundle, clock.now())
        components.runtimes.applyBundle(bundle, clock.now())
        components.limits.applyBundle(bundle)
        clientBlocks.apply(bundle.clientBlocks)
        locations = emptyList()
        plans = emptyMap()
        refresh()
    }

    /** Applies the present state of the peers. Must be called after each change and about every 100 ms. */
    fun refresh() {
        peers.refresh(clock.now())
        val inForce = verified ?: return
        val known = peers.peers
        val plansChanged = refreshPlans(inForce, known)
        for (peer in known) {
            components.peerRoutes.setUsable(peer.vm, peer.isServing && links.linkTo(peer.vm) != null)
        }
        val present = known.filter { it.isServing }.map { it.toCandidate() } + listOfNotNull(ownCandidate())
        val candidatesChanged = present != candidates
        if (candidatesChanged) {
            candidates = present
            entrySelector = EntrySelector(present)
        }
        val current = components.reference.current
        if (plansChanged || candidatesChanged || current?.verified !== inForce) {
            components.reference.publish(SteeringSnapshot(inForce, plans, entrySelector, clientBlocks.table))
        }
    }

    private fun refreshPlans(inForce: VerifiedBundle, known: List<PeerInfo>): Boolean {
        val bundle = inForce.bundle
        val newLocations = known.map { PeerLocation(it.vm, it.zone, it.region) }
        val newOrder = orderOfRegions(bundle.regions.keys, known)
        if (newLocations == locations && newOrder == regionOrder && plans.isNotEmpty()) return false
        locations = newLocations
        regionOrder = newOrder
        components.peerRoutes.applyPeers(newLocations, bundle.services.keys)
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
            targets = components.targets.table,
            peers = components.peerRoutes.routesFor(service),
        )
    }

    /** Orders regions by the shortest round trip to one of their peers; regions without a measurement come last. */
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
            url = local.callerUrl,
            identifierWindow = windows.currentWindow(clock.now()),
            weight = 1.0,
        )
    }
}

private fun PeerInfo.toCandidate() = EntryCandidate(vm, zone, region, callerUrl, identifierWindow, weight = 1.0)
