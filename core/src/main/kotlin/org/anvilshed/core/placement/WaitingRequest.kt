package org.anvilshed.core.placement

import org.anvilshed.core.MonotonicTime

/**
 * Request in the queue of a [ServicePool].
 *
 * @property expiresAt when the request is refused if no slot became free.
 */
public class WaitingRequest internal constructor(
    public val request: PlacementRequest,
    internal val expiresAt: MonotonicTime,
    internal val sequence: Long,
) {
    internal companion object {
        /** More urgent kinds first; within one kind the request that arrived first. */
        val SERVING_ORDER: Comparator<WaitingRequest> =
            compareBy<WaitingRequest> { it.request.workloadClass.priority }.thenBy { it.sequence }
    }
}
