package org.anvilshed.core.placement

import org.anvilshed.core.MonotonicTime

/**
 * Request in the queue of a [ServicePool].
 *
 * @property request the waiting request.
 * @property expiresAt when the request is refused if no target has a free slot.
 * @property sequence position in the order of arrival.
 */
public class WaitingRequest internal constructor(
    public val request: PlacementRequest,
    internal val expiresAt: MonotonicTime,
    internal val sequence: Long,
) {
    internal companion object {
        /** Orders by priority, the most urgent first, and requests of one priority by arrival. */
        val DISPATCH_ORDER: Comparator<WaitingRequest> =
            compareBy<WaitingRequest> { it.request.workloadClass.priority }.thenBy { it.sequence }
    }
}
