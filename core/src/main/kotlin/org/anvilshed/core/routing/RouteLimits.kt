package org.anvilshed.core.routing

import org.anvilshed.core.RefusalReason
import org.anvilshed.core.RegionName
import org.anvilshed.core.ServiceName

/** Limits on requests that this VM dispatches to a target: owned free slots and the request limit of the region. */
public fun interface LocalDispatchLimit {
    /**
     * Acquires a slot of [target] and one request of the region's limit, both or neither. Returns `null` if both were
     * acquired, otherwise the reason: `NO_SLOT` concerns this target only, any other reason concerns all targets. The
     * caller releases the slot when the work ends.
     */
    public fun acquire(target: TargetState): RefusalReason?
}

/** Limits on requests that this VM moves to other regions: shift cap and link. */
public fun interface RegionMoveLimit {
    /**
     * Counts one request of [service] as moved to region [to], in all limits or in none. Returns `null` if the request
     * was counted, otherwise the reason: `SHIFT_CAP` concerns all regions, any other reason concerns this region only.
     */
    public fun acquire(service: ServiceName, to: RegionName): RefusalReason?
}

/** Limits that [RouteChooser] observes. */
public class RouteLimits(public val local: LocalDispatchLimit, public val move: RegionMoveLimit)
