package org.anvilshed.gateway

import org.anvilshed.core.ZoneName
import org.anvilshed.core.placement.PlacementSettings
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Time to the targets of each zone and back, learned from the connections that were opened. Not thread-safe. */
internal class RoundTripTimes(private val settings: PlacementSettings) {
    private val learned = HashMap<ZoneName, Duration>()

    fun of(zone: ZoneName): Duration = learned[zone] ?: when {
        zone == settings.zone -> FIRST_IN_ZONE
        settings.regions[zone] == settings.region -> FIRST_IN_REGION
        else -> FIRST_BETWEEN_REGIONS
    }

    /** Records that a connection to a target in [zone] was opened in [duration]. */
    fun observe(zone: ZoneName, duration: Duration) {
        val former = learned[zone]
        // A busy target or VM only makes a handshake longer, so the shortest ones show the way.
        learned[zone] =
            if (former == null || duration < former) duration else former + (duration - former) * RISE_WEIGHT
    }

    private companion object {
        val FIRST_IN_ZONE = 1.milliseconds
        val FIRST_IN_REGION = 4.milliseconds

        /** Between the round trips of the deployments known so far, until the first connection tells. */
        val FIRST_BETWEEN_REGIONS = 80.milliseconds
        const val RISE_WEIGHT = 0.02
    }
}
