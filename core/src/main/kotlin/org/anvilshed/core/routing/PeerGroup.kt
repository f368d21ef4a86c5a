package org.anvilshed.core.routing

/** Peers among which the better one of two random ones is chosen, or else any other one that has a place. */
internal class PeerGroup(private val peers: Array<PeerRoute>) {
    /** Returns a peer on which the request is counted, or `null` if none has a place. */
    fun choose(request: RouteRequest): PeerRoute? {
        if (peers.isEmpty()) return null
        val first = peers[request.random.nextInt(peers.size)]
        val second = peers[request.random.nextInt(peers.size)]
        val better = if (second.assumedFree(request.now) > first.assumedFree(request.now)) second else first
        if (take(better, request)) return better
        val start = request.random.nextInt(peers.size)
        for (step in peers.indices) {
            val index = start + step
            val peer = peers[if (index < peers.size) index else index - peers.size]
            if (take(peer, request)) return peer
        }
        return null
    }

    private fun take(peer: PeerRoute, request: RouteRequest): Boolean =
        peer !== request.avoidPeer && peer.tryBegin(request.now)
}
