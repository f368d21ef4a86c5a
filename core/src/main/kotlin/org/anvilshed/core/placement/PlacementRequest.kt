package org.anvilshed.core.placement

import org.anvilshed.core.MonotonicTime
import org.anvilshed.core.RegionName
import org.anvilshed.core.fleet.TargetKey
import kotlin.time.Duration

/**
 * Request that needs a target.
 *
 * @property startedAt when the caller made its first attempt, which may be before the arrival of this one.
 * @property deadline when the caller or the route abandons the request.
 * @property affinityKey object that the request concerns, if targets process requests faster for objects that they
 *   handled recently.
 * @property homeRegions regions that may serve the request; empty if all may.
 * @property excluded targets to which this request was already assigned.
 */
public data class PlacementRequest(
    public val workloadClass: WorkloadClass,
    public val startedAt: MonotonicTime,
    public val deadline: MonotonicTime,
    public val affinityKey: String?,
    public val homeRegions: Set<RegionName>,
    public val excluded: Set<TargetKey> = emptySet(),
) {
    /** Identifies the object at targets: two workload classes may use one key for different objects. */
    internal val objectKey: String? = affinityKey?.let {
        "${workloadClass.priority}/${workloadClass.latencyObjective}/$it"
    }

    internal val objectHash: Int = objectKey?.hashCode() ?: 0

    /** Time after [startedAt] within which the answer should arrive; the time until [deadline] if none is set. */
    val latencyObjective: Duration
        get() = workloadClass.latencyObjective ?: (deadline - startedAt)
}
