package org.anvilshed.core.placement

import org.anvilshed.core.MonotonicTime
import org.anvilshed.core.fleet.TargetKey

/**
 * What a VM knows about the rate limit of a target, and its use of it, for announcements to other VMs.
 *
 * @property statement what the target stated to this VM last, or `null` if the VM knows the limit from others only.
 * @property statedAt when the response with the statement arrived.
 * @property sendsPerSecond rate at which the VM sent to the target recently.
 */
public data class TargetRateUse(
    public val target: TargetKey,
    public val statement: RateLimitStatement?,
    public val statedAt: MonotonicTime,
    public val sendsPerSecond: Double,
)

/**
 * What other VMs announced about the rate limit of a target.
 *
 * @property statement what the target stated last, as far as the others know; `null` if unknown.
 * @property statedAt when the target stated it.
 * @property sendsPerSecond sum of the rates at which the others sent to the target recently.
 */
public data class AnnouncedTargetRate(
    public val statement: RateLimitStatement?,
    public val statedAt: MonotonicTime,
    public val sendsPerSecond: Double,
)
