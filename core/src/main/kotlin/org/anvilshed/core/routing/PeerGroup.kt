package org.anvilshed.core.routing

/** Peers of which the better of two random ones is chosen, or any other one with a free slot if that one is full. */
internal class PeerGroup(private val peers: Array<PeerRoute>) {
    private val candidates = CandidateSet(peers.size)

    init {
        peers.forEachIndexed { index, peer -> peer.position = CandidatePosition(candidates, index) }
    }

    /** Returns a peer and counts the request as in flight there, or returns `null` if no peer has a free slot. */
    fun choose(request: RouteRequest): PeerRoute? {
        if (peers.isEmpty()) return null
        val first = peers[request.random.nextInt(peers.size)]
        val second = peers[request.random.nextInt(peers.size)]
        val isSecondBetter = second.estimatedFreeSlots(request.now) > first.estimatedFreeSlots(request.now)
        val better = if (isSecondBetter) second else first
        if (tryBegin(better, request)) return better
        candidates.refresh(request.now)
        val start = request.random.nextInt(peers.size)
        return scan(start, peers.size, request) ?: scan(0, start, request)
    }

    private fun scan(from: Int, to: Int, request: RouteRequest): PeerRoute? {
        var index = candidates.nextFrom(from)
        while (index in 0 until to) {
            val peer = peers[index]
            if (tryBegin(peer, request)) return peer
            // Removed before the second check, so that a slot that becomes free in between is not missed.
            candidates.remove(index)
            if (peer.estimatedFreeSlots(request.now) > 0) candidates.add(index)
            index = candidates.nextFrom(index + 1)
        }
        return null
    }

    private fun tryBegin(peer: PeerRoute, request: RouteRequest): Boolean =
        peer !== request.avoidPeer && peer.tryBegin(request.now)
}
