package org.anvilshed.core.placement

import org.anvilshed.core.MonotonicTime

/**
 * Ranks targets by how probably they have the object of a request cached and therefore process the request faster.
 *
 * For each object, all VMs of a region prefer the same two targets of the region, and the same two targets among all
 * other regions for the requests that exceed the region's capacity. Not thread-safe.
 */
internal class ObjectAffinity(private val capacity: RegionCapacity) {
    private val remoteObjects = RemoteObjects()
    private val hitRates = HitRates()

    /** Adjusts the fraction of objects that are served in other regions. */
    fun adjust(now: MonotonicTime): Unit = remoteObjects.adjust(capacity.occupancy(now), now)

    /** Returns a function that gives the rank of a target of [usable] for the object of [request]. */
    fun ranks(request: PlacementRequest, usable: List<TargetLoad>): (TargetLoad) -> ObjectRank {
        if (request.objectKey == null) return { ObjectRank.ANY }
        val (remote, local) = usable.partition { capacity.isRemote(it) }
        val ordered = local.sortedByDescending { it.rendezvousScore(request.objectHash) }
        val first = ordered.getOrNull(0)
        val second = ordered.getOrNull(1)
        val remoteChoices = remote.sortedByDescending { it.rendezvousScore(request.objectHash) }.take(REMOTE_CHOICES)
        return { load ->
            when {
                load.probablyCaches(request) -> ObjectRank.SENT
                load === first -> ObjectRank.FIRST
                load === second -> ObjectRank.SECOND
                load in remoteChoices -> ObjectRank.REMOTE
                else -> ObjectRank.OTHER
            }
        }
    }

    /** Returns the probability, from 0 to 1, that a target of [rank] has the object of [request] cached. */
    fun hitRate(request: PlacementRequest, rank: ObjectRank): Double = when {
        // Every request for an object that is served remotely goes to its remote targets, so these have it cached as
        // often as the region's first choice would.
        rank == ObjectRank.REMOTE && remoteObjects.contains(request.objectHash) ->
            maxOf(hitRates.of(rank), ObjectRank.FIRST.initialHitRate)

        else -> hitRates.of(rank)
    }

    /** Records whether the target of [rank] had the object of a request [cached]. */
    fun learn(rank: ObjectRank, cached: Boolean): Unit = hitRates.observe(rank, cached)

    private companion object {
        /** The second choice serves what exceeds the capacity of the first; more choices would scatter the objects. */
        const val REMOTE_CHOICES = 2
    }
}
