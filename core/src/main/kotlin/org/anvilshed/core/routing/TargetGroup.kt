package org.anvilshed.core.routing

import org.anvilshed.core.RegionName
import org.anvilshed.core.ServiceName
import org.anvilshed.core.ZoneName

/** Targets of one service in one zone, as one [TargetTable] lists them. */
public class TargetGroup internal constructor(
    public val service: ServiceName,
    public val zone: ZoneName,
    public val region: RegionName,
    internal val targets: Array<TargetState>,
) {
    internal val candidates = CandidateSet(targets.size)

    init {
        targets.forEachIndexed { index, target -> target.position = CandidatePosition(candidates, index) }
    }

    /** Number of targets. */
    public val size: Int
        get() = targets.size

    /** Targets in the order of their names. */
    public fun toList(): List<TargetState> = targets.asList()
}
