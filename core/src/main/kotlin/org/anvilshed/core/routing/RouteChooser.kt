package org.anvilshed.core.routing

import org.anvilshed.core.RefusalReason

/**
 * Decides where a request goes. Thread-safe; takes what it chooses: a slot, a peer's place, a move.
 *
 * A decision allocates the same for any number of sites. Its time hardly grows with them: full ones are skipped 64 at a
 * time, see [CandidateSet].
 */
public class RouteChooser(private val limits: RouteLimits) {
    private val targetChooser = TargetChooser(limits.local)

    /**
     * Returns the place for a request of [plan]'s service.
     *
     * A planned move is drawn first. A request that was drawn but finds no place there, or no allowance, is served like
     * any other one.
     */
    public fun route(plan: RoutePlan, request: RouteRequest): RouteDecision {
        if (!request.mayForward) return local(plan, request) ?: RouteDecision.Refuse(reasonWithout(plan, request))
        return drawnMove(plan, request)
            ?: local(plan, request)
            ?: plan.ownPeers.choose(request)?.let { RouteDecision.Peer(it, movedTo = null) }
            ?: otherZone(plan, request)
            ?: otherRegion(plan, request)
            ?: queueOrRefuse(plan, request)
    }

    private fun local(plan: RoutePlan, request: RouteRequest): RouteDecision? =
        plan.ownTargets?.let { targetChooser.choose(it, request) }?.let { RouteDecision.LocalTarget(it) }

    private fun otherZone(plan: RoutePlan, request: RouteRequest): RouteDecision? {
        val ownRefusal = request.localRefusal
        val decision = otherZoneIgnoringOwnRefusal(plan, request)
        request.localRefusal = ownRefusal
        return decision
    }

    /** The seats of each zone are separate, so a refusal in one zone says nothing about the next. */
    private fun otherZoneIgnoringOwnRefusal(plan: RoutePlan, request: RouteRequest): RouteDecision? {
        for (places in plan.otherZones) {
            request.localRefusal = null
            places.targets?.let { targetChooser.choose(it, request) }?.let { return RouteDecision.LocalTarget(it) }
            places.peers.choose(request)?.let { return RouteDecision.Peer(it, movedTo = null) }
        }
        return null
    }

    private fun drawnMove(plan: RoutePlan, request: RouteRequest): RouteDecision? {
        if (plan.regions.isEmpty() || plan.regions[0].move == null) return null
        var draw = request.random.nextDouble()
        for (places in plan.regions) {
            val move = places.move ?: return null
            val fraction = move.fraction(request.wallNow)
            if (draw < fraction) return moveTo(plan, places, request)
            draw -= fraction
        }
        return null
    }

    private fun otherRegion(plan: RoutePlan, request: RouteRequest): RouteDecision? {
        for (places in plan.regions) {
            moveTo(plan, places, request)?.let { return it }
            if (request.moveRefusal == RefusalReason.SHIFT_CAP) return null
        }
        return null
    }

    private fun moveTo(plan: RoutePlan, places: RegionPlaces, request: RouteRequest): RouteDecision? {
        val peer = places.peers.choose(request) ?: return null
        val refusal = limits.move.acquire(plan.service, places.region)
        if (refusal == null) return RouteDecision.Peer(peer, places.region)
        peer.undoBegin()
        request.moveRefusal = refusal
        return null
    }

    private fun queueOrRefuse(plan: RoutePlan, request: RouteRequest): RouteDecision {
        val mayWait = hasStayingTarget(plan, request) && request.localRefusal != RefusalReason.NO_SEAT
        return if (mayWait) RouteDecision.Queue else RouteDecision.Refuse(reasonWithout(plan, request))
    }

    private fun reasonWithout(plan: RoutePlan, request: RouteRequest): RefusalReason = request.localRefusal
        ?: request.moveRefusal
        ?: if (hasStayingTarget(plan, request)) RefusalReason.NO_SLOT else RefusalReason.NO_TARGET

    private fun hasStayingTarget(plan: RoutePlan, request: RouteRequest): Boolean =
        plan.ownTargets?.targets?.any { !it.isLeaving(request.wallNow) } == true
}
