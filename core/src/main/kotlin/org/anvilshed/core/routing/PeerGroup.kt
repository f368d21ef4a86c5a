package org.anvilshed.core.routing

/** Peers among which the better one of two random ones is chosen, or else any other one that has a place. */
internal class PeerGroup(private val peers: Array<PeerRoute>) {
    private val candidates = CandidateSet(peers.size)

    init {
        peers.forEachIndexed { index, peer -> peer.position = CandidatePosition(candidates, index) }
    }

    /** Returns a peer on which the request is counted, or `null` if none has a place. */
    fun choose(request: RouteRequest): PeerRoute? {
        if (peers.isEmpty()) return null
        val first = peers[request.random.nextInt(peers.size)]
        val second = peers[request.random.nextInt(peers.size)]
        val better = if (second.assumedFree(request.now) > first.assumedFree(request.now)) second else first
        if (take(better, request)) return better
        candidates.refresh(request.now)
        val start = request.random.nextInt(peers.size)
        return scan(start, peers.size, request) ?: scan(0, start, request)
    }

    private fun scan(from: Int, to: Int, request: RouteRequest): PeerRoute? {
        var index = candidates.nextFrom(from)
        while (index in 0 until to) {
            val peer = peers[index]
            if (take(peer, request)) return peer
            // Removed before the second look, so that room that appears in between is not lost.
            candidates.remove(index)
            if (peer.assumedFree(request.now) > 0) candidates.add(index)
            index = candidates.nextFrom(index + 1)
        }
        return null
    }

    private fun take(peer: PeerRoute, request: RouteRequest): Boolean =
        peer !== request.avoidPeer && peer.tryBegin(request.now)
}
