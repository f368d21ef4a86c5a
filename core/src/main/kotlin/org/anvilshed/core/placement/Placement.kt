package org.anvilshed.core.placement

import org.anvilshed.core.fleet.RegisteredTarget
import kotlin.time.Duration

/** Decision about a request that needs a target. */
public sealed interface Placement {
    /**
     * The request must be sent to [target] now.
     *
     * @property inFlight the request; its outcome must be passed to [ServicePool.finish].
     * @property cold whether the target is cold, so that the request counts towards its cold-start limit.
     */
    public data class Send(
        public val target: RegisteredTarget,
        public val inFlight: InFlightRequest,
        public val cold: Boolean,
    ) : Placement

    /** The request waits for a free slot until [ServicePool.dispatchWaiting] returns a decision about [ticket]. */
    public data class Wait(public val ticket: WaitingRequest) : Placement

    /**
     * The request can't be served in time.
     *
     * @property reason why the request is refused.
     * @property retryAfter expected time until requests of this workload class are served again.
     */
    public data class Refuse(public val reason: PlacementRefusalReason, public val retryAfter: Duration) : Placement
}

/**
 * Why a request was refused before it was sent to a target.
 *
 * @property label reason that the caller gets.
 */
public enum class PlacementRefusalReason(public val label: String) {
    /** No target of the service is registered, or none may be used. */
    NO_TARGET("no-target"),

    /** All targets of the service that may serve the request have asked for a pause. */
    PAUSED("targets-paused"),

    /** The expected wait for a slot is longer than the request may wait. */
    OVERLOADED("overloaded"),

    /** The time until the deadline is shorter than the expected latency. */
    DEADLINE("deadline"),
}
