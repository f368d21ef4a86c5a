package org.anvilshed.core.ingress

import org.anvilshed.core.RegionName
import org.anvilshed.core.ServiceName
import kotlin.time.Duration

/**
 * Route for the requests with one host and path prefix.
 *
 * @property host host name without port, compared without regard to case.
 * @property pathPrefix prefix of the paths; begins and ends with a slash.
 * @property idempotent whether a request may run more than once.
 * @property timeout longest time until a request is answered, also if the caller allows more.
 * @property latencyObjective time within which an answer has its full value, or `null` if the operator set none.
 * @property priority rank of the requests; 0 is the most urgent.
 * @property parts services that share the requests by weight; never empty.
 * @property maximumAttempts largest number of targets to which one request may be sent.
 * @property sticky whether targets process a request faster if they handled its object recently.
 * @property homeRegions regions that may serve the requests; empty if all may.
 */
public data class IngressRoute(
    public val name: String,
    public val host: String,
    public val pathPrefix: String,
    public val idempotent: Boolean,
    public val timeout: Duration,
    public val latencyObjective: Duration?,
    public val priority: Int,
    public val parts: List<RoutePart>,
    public val maximumAttempts: Int,
    public val sticky: Boolean,
    public val homeRegions: Set<RegionName>,
)

/**
 * Service that gets a part of a route's requests.
 *
 * @property weight positive weight, relative to the other parts of the route.
 */
public data class RoutePart(public val service: ServiceName, public val weight: Int)
