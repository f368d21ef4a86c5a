package org.anvilshed.core.routing

import org.anvilshed.core.RefusalReason

/**
 * Chooses where a request is sent, and acquires what the choice needs: a slot of a target, a free slot of a peer, or a
 * move to another region. Thread-safe.
 *
 * A decision allocates the same amount of memory for any number of sites. Its time hardly grows with that number, since
 * full sites are skipped 64 at a time, see [CandidateSet].
 */
public class RouteChooser(private val limits: RouteLimits) {
    private val targetChooser = TwoChoiceTargetChooser(limits.local)

    /**
     * Returns the decision for a request of [plan]'s service.
     *
     * First a random draw decides whether the request belongs to a planned move. If it does, but no peer there is free
     * or the limits do not permit the move, the request is served like any other one.
     */
    public fun route(plan: RoutePlan, request: RouteRequest): RouteDecision {
        if (!request.mayForward) return local(plan, request) ?: RouteDecision.Refuse(refusalReason(plan, request))
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

    /** Each zone has its own shares, so a refusal in one zone says nothing about the next zone. */
    private fun otherZoneIgnoringOwnRefusal(plan: RoutePlan, request: RouteRequest): RouteDecision? {
        for (candidates in plan.otherZones) {
            request.localRefusal = null
            candidates.targets?.let { targetChooser.choose(it, request) }?.let { return RouteDecision.LocalTarget(it) }
            candidates.peers.choose(request)?.let { return RouteDecision.Peer(it, movedTo = null) }
        }
        return null
    }

    private fun drawnMove(plan: RoutePlan, request: RouteRequest): RouteDecision? {
        if (plan.regions.isEmpty() || plan.regions[0].move == null) return null
        var draw = request.random.nextDouble()
        for (candidates in plan.regions) {
            val move = candidates.move ?: return null
            val fraction = move.fraction(request.wallNow)
            if (draw < fraction) return moveTo(plan, candidates, request)
            draw -= fraction
        }
        return null
    }

    private fun otherRegion(plan: RoutePlan, request: RouteRequest): RouteDecision? {
        for (candidates in plan.regions) {
            moveTo(plan, candidates, request)?.let { return it }
            if (request.moveRefusal == RefusalReason.SHIFT_CAP) return null
        }
        return null
    }

    private fun moveTo(plan: RoutePlan, candidates: RegionCandidates, request: RouteRequest): RouteDecision? {
        val peer = candidates.peers.choose(request) ?: return null
        val refusal = limits.move.acquire(plan.service, candidates.region)
        if (refusal == null) return RouteDecision.Peer(peer, candidates.region)
        peer.undoBegin()
        request.moveRefusal = refusal
        return null
    }

    private fun queueOrRefuse(plan: RoutePlan, request: RouteRequest): RouteDecision {
        val mayWait = hasNonLeavingTarget(plan, request) && request.localRefusal != RefusalReason.NO_SEAT
        return if (mayWait) RouteDecision.Queue else RouteDecision.Refuse(refusalReason(plan, request))
    }

    private fun refusalReason(plan: RoutePlan, request: RouteRequest): RefusalReason = request.localRefusal
        ?: request.moveRefusal
        ?: if (hasNonLeavingTarget(plan, request)) RefusalReason.NO_SLOT else RefusalReason.NO_TARGET

    private fun hasNonLeavingTarget(plan: RoutePlan, request: RouteRequest): Boolean =
        plan.ownTargets?.targets?.any { !it.isLeaving(request.wallNow) } == true
}
