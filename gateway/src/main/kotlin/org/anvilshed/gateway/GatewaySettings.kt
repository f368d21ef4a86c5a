package org.anvilshed.gateway

import org.anvilshed.core.RegionName
import org.anvilshed.core.SocketAddress
import org.anvilshed.core.VmName
import org.anvilshed.core.placement.PlacementSettings
import kotlin.time.Duration

/**
 * Settings of the gateway process of one entry VM.
 *
 * @property listen addresses that this process listens on.
 * @property peerPort UDP port for announcements between entry VMs; the same on all VMs.
 * @property seeds control addresses of some entry VMs, which may be outdated or down.
 * @property reportPeriod interval at which targets renew their registrations in the store.
 * @property lookupTimeToLive how long callers may cache a lookup response.
 * @property changeLimit time within which each change in the store must be in effect.
 * @property stopTimeout time from the stop signal until the process is killed.
 */
public data class GatewaySettings(
    public val name: VmName,
    public val region: RegionName,
    public val listen: ListenSettings,
    public val peerPort: Int,
    public val seeds: List<SocketAddress>,
    public val placement: PlacementSettings,
    public val reportPeriod: Duration,
    public val lookupTimeToLive: Duration,
    public val changeLimit: Duration,
    public val stopTimeout: Duration,
) {
    /**
     * Returns these settings with those of [newer] that may change while the process runs. The others, which name the
     * process and what it has opened, stay as they are.
     */
    public fun withChangesOf(newer: GatewaySettings): GatewaySettings = copy(
        seeds = newer.seeds,
        placement = newer.placement.copy(zone = placement.zone, retryWindow = placement.retryWindow),
        reportPeriod = newer.reportPeriod,
        lookupTimeToLive = newer.lookupTimeToLive,
        changeLimit = newer.changeLimit,
        stopTimeout = newer.stopTimeout,
    )
}

/**
 * Addresses on which a gateway listens.
 *
 * @property callers for requests of callers.
 * @property readiness for readiness checks.
 * @property lookup for lookups of entry VMs by callers.
 * @property control for calls between entry VMs.
 */
public data class ListenSettings(
    public val callers: SocketAddress,
    public val readiness: SocketAddress,
    public val lookup: SocketAddress,
    public val control: SocketAddress,
)
