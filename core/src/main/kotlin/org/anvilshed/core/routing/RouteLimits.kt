package org.anvilshed.core.routing

import org.anvilshed.core.RefusalReason
import org.anvilshed.core.RegionName
import org.anvilshed.core.ServiceName

/** Limits of this VM on work at a target: an owned free slot and the request limit of the region. */
public fun interface LocalDispatchLimit {
    /**
     * Takes a slot of [target] and a request of the region's limit, both or none. Returns why not, or `null` if taken;
     * `NO_SLOT` concerns this target only, any other reason all targets. The taker frees the slot when the work ends.
     */
    public fun acquire(target: TargetState): RefusalReason?
}

/** Limits of this VM on moving requests to other regions: shift cap and link. */
public fun interface RegionMoveLimit {
    /**
     * Counts one request of [service] as moved to region [to], in all limits or in none. Returns why not, or `null` if
     * counted; `SHIFT_CAP` concerns all regions, any other reason this region only.
     */
    public fun acquire(service: ServiceName, to: RegionName): RefusalReason?
}

/** Limits that [RouteChooser] asks. */
public class RouteLimits(public val local: LocalDispatchLimit, public val move: RegionMoveLimit)
