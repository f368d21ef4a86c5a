package org.anvilshed.core.placement

import org.anvilshed.core.RegionName
import org.anvilshed.core.ZoneName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Location of this VM and the limits that placement keeps.
 *
 * @property zone zone of this VM.
 * @property regions region of each zone.
 * @property retryRatio retries that all VMs together may send for each request of a service.
 * @property retryWindow length of the sliding window in which requests and retries are counted.
 * @property retrySlack number of retries that all VMs together may send in a window in addition to [retryRatio].
 * @property coldOvershoot factor by which the rate of requests to a cold target may exceed the rate that it tolerates.
 * @property coldSlack requests in one second that a cold target may get in addition to [coldOvershoot].
 * @property maximumShift largest change, from 0 to 1, of the fraction of a region's requests that another region serves
 *   between two successive windows of [SHIFT_WINDOW].
 * @property statedRateTolerance tolerance of the limits that targets state on the requests of all VMs together.
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
    public val statedRateTolerance: RateTolerance = RateTolerance(4.seconds, overshoot = 1.5, slack = 5.0),
) {
    /** Region of this VM, or `null` if [regions] does not contain [zone]. */
    public val region: RegionName?
        get() = regions[zone]
}
