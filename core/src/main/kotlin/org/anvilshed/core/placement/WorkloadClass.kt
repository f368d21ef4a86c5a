package org.anvilshed.core.placement

import org.anvilshed.core.ingress.IngressRoute
import kotlin.time.Duration

/**
 * Class of requests that are expected to need the same processing time.
 *
 * Estimates are kept for each class, so that a new route starts with the estimates of older routes of the same class.
 *
 * @property idempotent whether a request may run more than once.
 * @property priority rank of the requests; 0 is the most urgent.
 * @property latencyObjective time within which an answer has its full value, or `null` if the operator set none.
 */
public data class WorkloadClass(
    public val idempotent: Boolean,
    public val priority: Int,
    public val latencyObjective: Duration?,
) {
    public constructor(route: IngressRoute) : this(route.idempotent, route.priority, route.latencyObjective)
}
