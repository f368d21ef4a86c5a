package org.anvilshed.core.seats

import org.anvilshed.core.RegionName
import org.anvilshed.core.ZoneName

/**
 * Set of limits whose shares are recorded in the same ledger.
 *
 * @property key key of the ledger object in the platform.
 */
public sealed interface ShareScope {
    public val key: String

    /** Slots and connections of the targets of [zone]. */
    public data class OfZone(public val zone: ZoneName) : ShareScope {
        override val key: String get() = "seats/zone/$zone"
    }

    /** Outgoing links and request limits of [region]. */
    public data class OfRegion(public val region: RegionName) : ShareScope {
        override val key: String get() = "seats/region/$region"
    }
}
