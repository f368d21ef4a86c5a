package org.anvilshed.core.placement

import org.anvilshed.core.MonotonicTime
import org.anvilshed.core.RegionName
import org.anvilshed.core.fleet.TargetKey
import kotlin.time.Duration

/**
 * Request that asks for a target.
 *
 * @property startedAt when the caller started; with its first attempt, if this is a later one.
 * @property deadline when the caller or the route gives up on it.
 * @property affinityKey object that the request concerns, if targets work faster on objects that they handled recently.
 * @property homeRegions regions that may serve it; empty if all may.
 * @property excluded targets that already got this request.
 */
public data class PlacementRequest(
    public val workloadClass: WorkloadClass,
    public val startedAt: MonotonicTime,
    public val deadline: MonotonicTime,
    public val affinityKey: String?,
    public val homeRegions: Set<RegionName>,
    public val excluded: Set<TargetKey> = emptySet(),
) {
    /** Object as targets tell it apart: two kinds of requests may use one key for different objects. */
    internal val objectKey: String? = affinityKey?.let {
        "${workloadClass.priority}/${workloadClass.latencyObjective}/$it"
    }

    internal val objectHash: Int = objectKey?.hashCode() ?: 0

    /** Time after the start within which the answer is wanted. */
    val latencyObjective: Duration
        get() = workloadClass.latencyObjective ?: (deadline - startedAt)
}
