package org.anvilshed.core.lifecycle

import org.anvilshed.core.MonotonicTime
import kotlin.time.Duration

/**
 * End of a VM that shuts down.
 *
 * A request that is still at its target then ends without the response of the target, so none is sent that will
 * probably take longer.
 *
 * @property endsAt when the last responses are written.
 */
public data class StopDeadline(public val endsAt: MonotonicTime) {
    /**
     * Returns whether a request that is sent at [now] has ended before the VM does: by its [deadline], or because the
     * response takes no longer than [longestResponseTime].
     */
    public fun allowsSend(deadline: MonotonicTime, longestResponseTime: Duration, now: MonotonicTime): Boolean =
        deadline <= endsAt || now + longestResponseTime <= endsAt
}
