package org.anvilshed.core.placement

import org.anvilshed.core.MonotonicTime

/**
 * Which targets probably know the object of a request, so that they need less work for it.
 *
 * All VMs of a region prefer the same two of its targets for an object, and the same two of all other regions for what
 * the region has no room for. Not thread-safe.
 */
internal class ObjectPreference(private val capacity: RegionCapacity) {
    private val remoteObjects = RemoteObjects()
    private val hitRates = HitRates()

    /** Adjusts how many objects are kept in other regions. */
    fun adjust(now: MonotonicTime): Unit = remoteObjects.adjust(capacity.occupancy(now), now)

    /** Returns the ranks of the targets of [usable] for the object of [request], as a function of the target. */
    fun ranks(request: PlacementRequest, usable: List<TargetLoad>): (TargetLoad) -> ObjectRank {
        if (request.objectKey == null) return { ObjectRank.ANY }
        val (far, near) = usable.partition { capacity.isRemote(it) }
        val ordered = near.sortedByDescending { it.rendezvousScore(request.objectHash) }
        val first = ordered.getOrNull(0)
        val second = ordered.getOrNull(1)
        val remote = far.sortedByDescending { it.rendezvousScore(request.objectHash) }.take(REMOTE_CHOICES)
        return { load ->
            when {
                load.knows(request) -> ObjectRank.SENT
                load === first -> ObjectRank.FIRST
                load === second -> ObjectRank.SECOND
                load in remote -> ObjectRank.REMOTE
                else -> ObjectRank.OTHER
            }
        }
    }

    /** Returns the probability that a target of [rank] knows the object of [request]. */
    fun hitRate(request: PlacementRequest, rank: ObjectRank): Double = when {
        // Objects that are kept elsewhere go there each time, so the target there is like the first of the region.
        rank == ObjectRank.REMOTE && remoteObjects.contains(request.objectHash) ->
            maxOf(hitRates.of(rank), ObjectRank.FIRST.firstHitRate)

        else -> hitRates.of(rank)
    }

    /** Records whether the target of [rank] knew the object of a request. */
    fun learn(rank: ObjectRank, known: Boolean): Unit = hitRates.observe(rank, known)

    private companion object {
        /** A second choice takes what the first has no room for; more would scatter the objects. */
        const val REMOTE_CHOICES = 2
    }
}
