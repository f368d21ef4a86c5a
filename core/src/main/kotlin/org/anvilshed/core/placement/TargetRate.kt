package org.anvilshed.core.placement

import org.anvilshed.core.MonotonicTime

/**
 * What one or several VMs know about the rate limit of a target, and their use of it, as they announce it to others.
 *
 * @property statement what the target stated to these VMs last, or `null` if they know the limit from others only.
 * @property statedAt when the response with the statement arrived.
 * @property sendsPerSecond rate at which these VMs together sent to the target recently.
 */
public data class TargetRate(
    public val statement: RateLimitStatement?,
    public val statedAt: MonotonicTime,
    public val sendsPerSecond: Double,
)
