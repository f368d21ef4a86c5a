package org.anvilshed.core.bundle

import kotlinx.serialization.Serializable
import org.anvilshed.core.RegionName
import org.anvilshed.core.ServiceName
import kotlin.time.Instant

/**
 * Where the planned moves of a bundle start. The second operator signs it together with the bundle.
 *
 * @property activatedAt time of the sign-off by the clock of the second operator.
 * @property fractions fractions of the planned moves that were in effect at [activatedAt] under the bundle before.
 */
@Serializable
public data class ActivationRecord(public val activatedAt: Instant, public val fractions: List<MoveFraction>)

/** Fraction of the requests of [service] that a planned move takes from region [from] to region [to]. */
@Serializable
public data class MoveFraction(
    public val service: ServiceName,
    public val from: RegionName,
    public val to: RegionName,
    public val fraction: Double,
)
