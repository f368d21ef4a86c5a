package org.anvilshed.core.placement

import org.anvilshed.core.fleet.RegisteredTarget
import kotlin.time.Duration

/** Decision about a request that asks for a target. */
public sealed interface Placement {
    /**
     * The request goes to [target] now; its end must be reported with [inFlight].
     *
     * @property cold whether the target was cold, so that the send was taken from its allowance.
     */
    public data class Send(
        public val target: RegisteredTarget,
        public val inFlight: InFlightRequest,
        public val cold: Boolean,
    ) : Placement

    /** The request waits for a free slot until [ServicePool.dispatchWaiting] decides about [ticket]. */
    public data class Wait(public val ticket: WaitingRequest) : Placement

    /**
     * The request can't be served in time.
     *
     * @property retryAfter expected time until requests of this class are served again.
     */
    public data class Refuse(public val reason: PlacementRefusalReason, public val retryAfter: Duration) : Placement
}

/** Why a request was refused before it was sent to a target. */
public enum class PlacementRefusalReason(public val label: String) {
    /** No target of the service is registered, or none may be used. */
    NO_TARGET("no-target"),

    /** The expected wait for a slot is longer than the request can afford. */
    OVERLOADED("overloaded"),

    /** What is left until the deadline is shorter than the work. */
    DEADLINE("deadline"),
}
