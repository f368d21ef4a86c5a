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
    fun adjust(now: MonotonicTime): Unit = remoteObjects.adjust(now, capacity::occupancy)

    /** Returns the ranks of the targets of [usable] for the object of [request]. */
    fun ranks(request: PlacementRequest, usable: List<TargetLoad>): ObjectRanks {
        val local = TopTwo()
        val remote = TopTwo()
        if (request.objectKey != null) {
            for (load in usable) {
                val score = load.rendezvousScore(request.objectHash)
                if (load.isRemote) remote.add(load, score) else local.add(load, score)
            }
        }
        return ObjectRanks(request, local, remote)
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
}

/** Ranks of targets for the object of one request. */
internal class ObjectRanks(
    private val request: PlacementRequest,
    private val local: TopTwo,
    private val remote: TopTwo,
) {
    /** Returns the rank of the target of [load]. */
    fun of(load: TargetLoad): ObjectRank = when {
        request.objectKey == null -> ObjectRank.ANY
        load.probablyCaches(request) -> ObjectRank.SENT
        load === local.first -> ObjectRank.FIRST
        load === local.second -> ObjectRank.SECOND
        load === remote.first || load === remote.second -> ObjectRank.REMOTE
        else -> ObjectRank.OTHER
    }
}

/**
 * Two targets with the highest scores. The second serves what exceeds the capacity of the first; more choices would
 * scatter the objects.
 */
internal class TopTwo {
    var first: TargetLoad? = null
        private set
    var second: TargetLoad? = null
        private set
    private var firstScore = 0L
    private var secondScore = 0L

    /** Adds a target; of equal scores, the one that was added first counts as higher. */
    fun add(load: TargetLoad, score: Long) {
        if (first == null || score > firstScore) {
            second = first
            secondScore = firstScore
            first = load
            firstScore = score
        } else if (second == null || score > secondScore) {
            second = load
            secondScore = score
        }
    }
}
