package org.anvilshed.daemon.limits

import org.anvilshed.core.MonotonicTime
import org.anvilshed.core.RegionName
import org.anvilshed.core.ZoneName
import org.anvilshed.core.bundle.Bundle
import org.anvilshed.core.bundle.LinkKey
import org.anvilshed.core.limits.RateLimiter
import org.anvilshed.core.limits.SlotPool
import org.anvilshed.core.seats.UsableShares
import java.util.concurrent.ConcurrentHashMap

private const val BITS_PER_BYTE = 8

/** Returns the shares of a scope that this VM may use at the time of the call. */
internal typealias UsableSharesProvider = () -> UsableShares

/**
 * Limits that follow from the shares that this VM holds: slots of the targets in the zones of its region, the request
 * limit of the region, and the limits of the links to other regions.
 */
internal class ShareLimits(
    private val ownRegion: RegionName,
    private val zoneShares: (ZoneName) -> UsableSharesProvider,
    private val regionShares: UsableSharesProvider,
) {
    private val pools = ConcurrentHashMap<ZoneName, SlotPool>()
    private val links = ConcurrentHashMap<RegionName, RateLimiter>()

    /** Requests per second that the targets of the own region may take. */
    val regionLimiter = RateLimiter(0.0, rights = regionShares)

    /** Applies the limits of [bundle], except for slots: the share ledger loop of each zone applies its slots. */
    fun applyBundle(bundle: Bundle) {
        regionLimiter.changeLimit(bundle.regions[ownRegion]?.requestsPerSecond ?: 0.0)
        for (region in bundle.regions.keys - ownRegion) {
            val link = bundle.links[LinkKey(ownRegion, region)]
            val bytesPerSecond = if (link == null) 0.0 else link.bitsPerSecond * link.usableFraction / BITS_PER_BYTE
            links.computeIfAbsent(region) { RateLimiter(0.0, rights = regionShares) }.changeLimit(bytesPerSecond)
        }
    }

    /** Returns the slots of the targets in [zone]. */
    fun poolOf(zone: ZoneName): SlotPool = pools.computeIfAbsent(zone) { SlotPool(zoneShares(zone)) }

    /** Returns the shares of [zone] that this VM may use now. */
    fun usableSharesOf(zone: ZoneName): UsableShares = zoneShares(zone)()

    /** Returns the limiter of the link to [region] in bytes per second, or `null` if no bundle listed the region. */
    fun linkLimiterTo(region: RegionName): RateLimiter? = links[region]

    /** Returns the part of the limits of the own region, from 0 to 1, that this VM may use at [now]. */
    fun fractionOfRegion(now: MonotonicTime): Double = regionShares().fractionAt(now)
}
