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
 * peers announce are higher than those of this VM.
 */
internal class FeedCatchUp(
    private val scope: CoroutineScope,
    private val feeds: Map<StoreKind, StoreFeed>,
    private val snapshots: PeerSnapshots,
    private val log: DecisionLog,
) {
    private val kindsInProgress = HashSet<StoreKind>()

    /** Starts to fetch the objects of each kind for which [peer] announced a newer revision. */
    fun fetchNewer(peer: PeerVm) {
        for ((index, revision) in peer.announcement.revisions.withIndex()) {
            val feed = feeds[StoreKind.entries.getOrNull(index)] ?: continue
            if (revision > feed.changedRevision && kindsInProgress.add(feed.kind)) {
                scope.launch { catchUp(feed, peer, revision) }
            }
        }
    }

    private suspend fun catchUp(feed: StoreFeed, peer: PeerVm, revision: Long) {
        try {
            if (feed.hasListing) delay(CATCH_UP_DELAY)
            if (feed.changedRevision >= revision) return
            val listing = snapshots.fetchOrNull(peer.control, feed.kind)
            if (listing != null) feed.adopt(listing) else log.info("peer-copy-missing", "peer" to peer.name)
        } finally {
            kindsInProgress.remove(feed.kind)
        }
    }

    private companion object {
        /** Longer than the pause of a feed between watches, so that a peer is asked only if the watch is stalled. */
        val CATCH_UP_DELAY = 500.milliseconds
    }
}
