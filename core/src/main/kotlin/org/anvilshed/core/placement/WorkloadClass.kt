package org.anvilshed.core.placement

import org.anvilshed.core.ingress.IngressRoute
import kotlin.time.Duration

/**
 * Requests that are expected to take the same work: estimates are kept per class, so a new route shares what was
 * learned from older routes of its kind.
 */
public data class WorkloadClass(
    public val idempotent: Boolean,
    public val priority: Int,
    public val latencyObjective: Duration?,
) {
    public constructor(route: IngressRoute) : this(route.idempotent, route.priority, route.latencyObjective)
}
