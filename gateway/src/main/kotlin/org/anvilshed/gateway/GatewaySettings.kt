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
 * @property peerPort UDP port on which the entry VMs exchange announcements; the same on all VMs.
 * @property seeds control addresses of a few entry VMs that may be stale or down.
 * @property lookupTimeToLive how long callers may keep a look-up answer.
 * @property stopTimeout time from a stop signal until the platform kills the process.
 */
public data class GatewaySettings(
    public val name: VmName,
    public val region: RegionName,
    public val listen: ListenSettings,
    public val peerPort: Int,
    public val seeds: List<SocketAddress>,
    public val placement: PlacementSettings,
    public val lookupTimeToLive: Duration,
    public val stopTimeout: Duration,
)

/**
 * Addresses that a gateway listens on.
 *
 * @property callers requests of callers.
 * @property readiness readiness checks of the platform.
 * @property lookup look-ups of entry VMs.
 * @property control calls between entry VMs.
 */
public data class ListenSettings(
    public val callers: SocketAddress,
    public val readiness: SocketAddress,
    public val lookup: SocketAddress,
    public val control: SocketAddress,
)
