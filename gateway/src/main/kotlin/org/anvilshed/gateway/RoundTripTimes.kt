package org.anvilshed.gateway

import org.anvilshed.core.ZoneName
import org.anvilshed.core.placement.PlacementSettings
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Estimated network round-trip time to each zone, from the time that opening connections took. Not thread-safe. */
internal class RoundTripTimes(private val settings: () -> PlacementSettings) {
    private val estimates = HashMap<ZoneName, Duration>()

    /** Returns the estimate for [zone], or an initial value before the first connection to it. */
    fun estimate(zone: ZoneName): Duration = estimates[zone] ?: initialEstimate(zone, settings())

    /** Records that opening a connection to a target in [zone] took [duration]. */
    fun observe(zone: ZoneName, duration: Duration) {
        val previous = estimates[zone]
        // Load on the target or on this VM only lengthens handshakes, so the shortest come closest to the network time.
        estimates[zone] =
            if (previous == null || duration < previous) duration else previous + (duration - previous) * RISE_WEIGHT
    }

    private fun initialEstimate(zone: ZoneName, settings: PlacementSettings): Duration = when {
        zone == settings.zone -> INITIAL_IN_ZONE
        settings.regions[zone] == settings.region -> INITIAL_IN_REGION
        else -> INITIAL_BETWEEN_REGIONS
    }

    private companion object {
        val INITIAL_IN_ZONE = 1.milliseconds
        val INITIAL_IN_REGION = 4.milliseconds

        /** Within the range of the round trips between regions in the known deployments. */
        val INITIAL_BETWEEN_REGIONS = 80.milliseconds
        const val RISE_WEIGHT = 0.02
    }
}
