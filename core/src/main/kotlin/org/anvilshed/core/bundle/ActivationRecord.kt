package org.anvilshed.core.bundle

import kotlinx.serialization.Serializable
import org.anvilshed.core.RegionName
import org.anvilshed.core.ServiceName
import kotlin.time.Instant

/**
 * Time and fractions from which the planned moves of a bundle continue. The second operator signs this record together
 * with the bundle.
 *
 * @property activatedAt time of the sign-off according to the clock of the second operator.
 * @property fractions fractions of the planned moves that were in effect at [activatedAt] under the preceding bundle.
 */
@Serializable
public data class ActivationRecord(public val activatedAt: Instant, public val fractions: List<MoveFraction>)

/** Fraction of the requests of [service] that a planned move redirects from region [from] to region [to]. */
@Serializable
public data class MoveFraction(
    public val service: ServiceName,
    public val from: RegionName,
    public val to: RegionName,
    public val fraction: Double,
)
