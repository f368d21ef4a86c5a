package org.anvilshed.core.membership

import org.anvilshed.core.VmName
import org.anvilshed.core.ZoneName

/** Number of peers up to which a VM sends heartbeats to all of them. */
public const val ALL_PEERS_LIMIT: Int = 8

private const val LOCAL_NEIGHBORS = 6
private const val WATCHERS_PER_ZONE = 2

/**
 * Returns the peers to which [self] sends heartbeats.
 *
 * These are all [contacts], including silent ones, if there are at most [ALL_PEERS_LIMIT]. Otherwise they are 6 of the
 * [candidates] in the zone of [self] and 2 in other zones, selected by rendezvous hashing; if the zone has fewer than 6
 * candidates, more of other zones are selected.
 *
 * @param contacts all known peers, see [PeerTable.contacts].
 * @param candidates peers that may answer, see [PeerTable.neighborCandidates].
 */
public fun selectNeighbors(
    self: PeerContact,
    contacts: Collection<PeerContact>,
    candidates: Collection<PeerContact>,
): List<PeerContact> {
    if (contacts.size <= ALL_PEERS_LIMIT) return contacts.sortedBy { it.name }
    val (local, remote) = candidates.filter { it.name != self.name }.partition { it.zone == self.zone }
    val localChoice = selectHighest(self.name.value, local, LOCAL_NEIGHBORS) { it.name.value }
    val remoteCount = ALL_PEERS_LIMIT - localChoice.size
    return localChoice + selectHighest(self.name.value, remote, remoteCount) { it.name.value }
}

/**
 * Returns the two VMs of [zone] that watch the platform, selected by rendezvous hashing from [live], which includes
 * this VM if it is not leaving. More than two VMs may watch while the VMs of the zone know different live VMs.
 */
public fun selectWatchers(zone: ZoneName, live: Collection<VmName>): List<VmName> =
    selectHighest(zone.value, live.toSet(), WATCHERS_PER_ZONE) { it.value }
