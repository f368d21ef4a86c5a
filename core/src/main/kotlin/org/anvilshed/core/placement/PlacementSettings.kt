package org.anvilshed.core.placement

import org.anvilshed.core.RegionName
import org.anvilshed.core.ZoneName
import kotlin.time.Duration

/**
 * What placement needs to know about this VM and the bounds in force.
 *
 * @property zone zone of this VM.
 * @property regions region of each zone.
 * @property retryRatio share of the requests of a service that all VMs together may send once more.
 * @property retryWindow window in which repeats are counted.
 * @property retrySlack repeats that all VMs together may send in a window beside [retryRatio].
 * @property coldOvershoot factor by which a cold target's rate may be exceeded.
 * @property coldSlack requests in one second that a cold target may get beside [coldOvershoot].
 * @property maximumShift share of a region's requests that may change region between two windows of [SHIFT_WINDOW].
 */
public data class PlacementSettings(
    public val zone: ZoneName,
    public val regions: Map<ZoneName, RegionName>,
    public val retryRatio: Double,
    public val retryWindow: Duration,
    public val retrySlack: Double,
    public val coldOvershoot: Double,
    public val coldSlack: Double,
    public val maximumShift: Double,
) {
    /** Region of this VM, or `null` if the settings do not name it. */
    public val region: RegionName?
        get() = regions[zone]
}
