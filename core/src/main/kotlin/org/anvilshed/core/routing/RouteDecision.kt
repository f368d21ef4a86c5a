package org.anvilshed.core.routing

import org.anvilshed.core.RefusalReason
import org.anvilshed.core.RegionName

/** Result of [RouteChooser.route]. */
public sealed interface RouteDecision {
    /**
     * Dispatch to [target], of which a slot was acquired. Check [TargetState.dispatchRefusalOrNull] again immediately
     * before the first byte is sent. When the request no longer occupies the slot, release the slot and then call
     * [TargetState.end].
     */
    public data class LocalTarget(public val target: TargetState) : RouteDecision

    /**
     * Forward to [peer] with mode `execute`. When the answer of the peer has ended, call [PeerRoute.end].
     *
     * @property movedTo region to which the request is moved, already counted in the [RegionMoveLimit]; `null` if the
     * request stays in its region.
     */
    public data class Peer(public val peer: PeerRoute, public val movedTo: RegionName?) : RouteDecision

    /** Offer the request to the admission queue of its service. */
    public data object Queue : RouteDecision

    /** The request does not run. */
    public data class Refuse(public val reason: RefusalReason) : RouteDecision
}
