package org.anvilshed.gateway.peers

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.anvilshed.gateway.DecisionLog
import org.anvilshed.gateway.store.StoreFeed
import org.anvilshed.gateway.store.StoreKind
import kotlin.time.Duration.Companion.milliseconds

/**
 * Fetches copies of store objects from peers that have newer ones.
 *
 * A watch may stall without an error, and a VM may be partitioned from the store. In both cases the revisions that
 * peers announce are higher than those of this VM. After the store was restored from an older copy, a peer may know a
 * newer config than the store, which only its version shows.
 *
 * @param configVersion returns the version of the config in force, or [AnnouncedStore.NO_CONFIG].
 */
internal class FeedCatchUp(
    private val scope: CoroutineScope,
    private val feeds: Map<StoreKind, StoreFeed>,
    private val snapshots: PeerSnapshots,
    private val configVersion: () -> Long,
    private val log: DecisionLog,
) {
    private val kindsInProgress = HashSet<StoreKind>()

    /** Starts to fetch the objects of each kind of which [peer] announced newer ones. */
    fun fetchNewer(peer: PeerVm) {
        val announced = peer.announcement.store
        for (feed in feeds.values) {
            if (isNewer(announced, feed) && kindsInProgress.add(feed.kind)) {
                scope.launch { catchUp(feed, peer, announced) }
            }
        }
    }

    private suspend fun catchUp(feed: StoreFeed, peer: PeerVm, announced: AnnouncedStore) {
        try {
            if (feed.hasListing) delay(CATCH_UP_DELAY)
            if (!isNewer(announced, feed)) return
            val listing = snapshots.fetchOrNull(peer.control, feed.kind)
            if (listing != null) feed.adopt(listing) else log.info("peer-copy-missing", "peer" to peer.name)
        } finally {
            kindsInProgress.remove(feed.kind)
        }
    }

    private fun isNewer(announced: AnnouncedStore, feed: StoreFeed): Boolean {
        val revision = announced.revisions.getOrNull(feed.kind.ordinal)
        val isRevisionNewer = revision != null && revision.number >= 0 && revision > feed.changedRevision
        return isRevisionNewer || (feed.kind == StoreKind.CONFIG && announced.configVersion > configVersion())
    }

    private companion object {
        /** Longer than the pause of a feed between watches, so that a peer is asked only if the watch is stalled. */
        val CATCH_UP_DELAY = 500.milliseconds
    }
}
