package org.anvilshed.core.placement

import org.anvilshed.core.MonotonicTime

/**
 * Which targets probably know the object of a request, so that they need less work for it.
 *
 * All VMs of a region prefer the same two of its targets for an object; objects for which the region has no room have
 * one preferred target in another region. Not thread-safe.
 */
internal class ObjectPreference(private val capacity: RegionCapacity) {
    private val remoteObjects = RemoteObjects()

    /** Adjusts how many objects are kept in other regions. */
    fun adjust(now: MonotonicTime): Unit = remoteObjects.adjust(capacity.occupancy(now), now)

    /** Returns the probability that a target knows the object of [request], as a function of the target. */
    fun probabilities(request: PlacementRequest, usable: List<TargetLoad>): (TargetLoad) -> Double {
        if (request.objectKey == null) return { 0.0 }
        val (far, near) = usable.partition { capacity.isRemote(it) }
        val ordered = near.sortedByDescending { it.rendezvousScore(request.objectHash) }
        val first = ordered.getOrNull(0)
        val second = ordered.getOrNull(1)
        val isKeptElsewhere = remoteObjects.contains(request.objectHash)
        val remote = if (isKeptElsewhere) far.maxByOrNull { it.rendezvousScore(request.objectHash) } else null
        return { load ->
            when {
                load.knows(request) -> KNOWN_PROBABILITY
                load === first || load === remote -> FIRST_RANK_PROBABILITY
                load === second -> SECOND_RANK_PROBABILITY
                else -> 0.0
            }
        }
    }

    private companion object {
        /** Probabilities that a target knows an object: sent by this VM, or by others of the same preference. */
        const val KNOWN_PROBABILITY = 0.9
        const val FIRST_RANK_PROBABILITY = 0.7
        const val SECOND_RANK_PROBABILITY = 0.3
    }
}
