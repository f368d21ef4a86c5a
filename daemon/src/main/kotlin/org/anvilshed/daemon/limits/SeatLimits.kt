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

/** Right to use the seats of a scope, as it is at the moment of the call. */
internal typealias SeatRights = () -> UsableShares

/**
 * Limits that follow from the seats of this VM: slots of the targets of the zones of its region, the request limit of
 * the region and the links that leave it.
 */
internal class SeatLimits(
    private val ownRegion: RegionName,
    private val zoneRights: (ZoneName) -> SeatRights,
    private val regionRights: SeatRights,
) {
    private val pools = ConcurrentHashMap<ZoneName, SlotPool>()
    private val links = ConcurrentHashMap<RegionName, RateLimiter>()

    /** Requests per second that the targets of the own region may take. */
    val regionLimiter = RateLimiter(0.0, rights = regionRights)

    /** Applies the limits of [bundle]; slots are applied by the seat loop of each zone. */
    fun applyBundle(bundle: Bundle) {
        regionLimiter.changeLimit(bundle.regions[ownRegion]?.requestsPerSecond ?: 0.0)
        for (region in bundle.regions.keys - ownRegion) {
            val link = bundle.links[LinkKey(ownRegion, region)]
            val bytesPerSecond = if (link == null) 0.0 else link.bitsPerSecond * link.usableFraction / BITS_PER_BYTE
            links.computeIfAbsent(region) { RateLimiter(0.0, rights = regionRights) }.changeLimit(bytesPerSecond)
        }
    }

    fun poolOf(zone: ZoneName): SlotPool = pools.computeIfAbsent(zone) { SlotPool(zoneRights(zone)) }

    /** Returns the right to use the seats of [zone]. */
    fun rightsOf(zone: ZoneName): UsableShares = zoneRights(zone)()

    /** Returns the limiter of the link to [region] in bytes, or `null` if no bundle lists the region. */
    fun linkTo(region: RegionName): RateLimiter? = links[region]

    /** Returns how many slots of the targets of [bundle] in this region can be taken now, and how many are owned. */
    fun fractionOfRegion(now: MonotonicTime): Double = regionRights().fractionAt(now)
}
