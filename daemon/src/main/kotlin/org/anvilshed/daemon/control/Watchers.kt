package org.anvilshed.daemon.control

import org.anvilshed.core.VmName
import org.anvilshed.core.ZoneName

private const val WATCHERS_PER_ZONE = 2

/** Largest number of peers to all of which heartbeats are sent. */
private const val FULL_MESH_PEERS = 8
private const val NEIGHBORS_IN_ZONE = 6
private const val NEIGHBORS_ELSEWHERE = 2

/** Returns the VMs of [zone] among [live] that watch the platform, chosen by rendezvous hashing. */
internal fun watchersOf(zone: ZoneName, live: Collection<VmName>): List<VmName> =
    live.sortedBy { rendezvousHash(zone.value, it.value) }.take(WATCHERS_PER_ZONE)

/** Returns the peers to which [self] of [zone] sends heartbeats; [peers] gives their zones. */
internal fun neighborsOf(self: VmName, zone: ZoneName, peers: Map<VmName, ZoneName>): Set<VmName> {
    if (peers.size <= FULL_MESH_PEERS) return peers.keys
    val (own, others) = peers.entries.sortedBy { rendezvousHash(self.value, it.key.value) }
        .partition { it.value == zone }
    return (own.take(NEIGHBORS_IN_ZONE) + others.take(NEIGHBORS_ELSEWHERE)).mapTo(HashSet()) { it.key }
}

/** FNV-1a over both texts with a final mix, as close names must not get close hashes. */
private fun rendezvousHash(first: String, second: String): Long {
    var hash = -0x340d631b7bdddcdbL
    for (character in "$first/$second") hash = (hash xor character.code.toLong()) * 0x100000001b3L
    hash = (hash xor (hash ushr 32)) * -0x61c8864680b583ebL
    return hash xor (hash ushr 29)
}
