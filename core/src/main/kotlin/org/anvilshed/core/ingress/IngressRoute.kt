package org.anvilshed.core.ingress

import org.anvilshed.core.RegionName
import org.anvilshed.core.ServiceName
import kotlin.time.Duration

/**
 * Requests of one host and path prefix, and how they are served.
 *
 * @property pathPrefix begins and ends with a slash.
 * @property idempotent whether a request may run more than once.
 * @property timeout longest time for which a request is kept waiting.
 * @property latencyObjective time within which an answer is worth its full credit, or `null` if the operator gave none.
 * @property priority rank of the requests; 0 is the most urgent.
 * @property parts services that share the requests by weight; never empty.
 * @property maximumAttempts largest number of targets to which one request may be sent.
 * @property sticky whether targets that handled an object recently work faster on it.
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
 * Share of a route's requests that goes to [service].
 *
 * @property weight positive weight, relative to the other parts of the route.
 */
public data class RoutePart(public val service: ServiceName, public val weight: Int)
