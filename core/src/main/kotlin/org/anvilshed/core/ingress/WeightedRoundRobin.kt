package org.anvilshed.core.ingress

import org.anvilshed.core.ServiceName

/**
 * Distributes the requests of one route over its parts in proportion to their weights.
 *
 * Uses smooth weighted round robin: in every sequence of as many requests as the sum of the weights, each part gets as
 * many as its weight, spread over the sequence. Not thread-safe.
 */
public class WeightedRoundRobin(private val parts: List<RoutePart>) {
    private val totalWeight = parts.sumOf { it.weight }
    private val credits = IntArray(parts.size)

    /** Returns the service of the next request. */
    public fun next(): ServiceName {
        var best = 0
        for (index in credits.indices) {
            credits[index] += parts[index].weight
            if (credits[index] > credits[best]) best = index
        }
        credits[best] -= totalWeight
        return parts[best].service
    }
}
