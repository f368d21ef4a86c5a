package org.anvilshed.gateway.peers

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.anvilshed.gateway.DecisionLog
import org.anvilshed.gateway.store.StoreFeed
import org.anvilshed.gateway.store.StoreKind
import kotlin.time.Duration.Companion.milliseconds

/**
 * Takes newer copies of store objects from peers.
 *
 * A watch may be silent without an error, and a VM may be cut off from the store; the revisions in the announcements of
 * peers show both.
 */
internal class FeedCatchUp(
    private val scope: CoroutineScope,
    private val feeds: Map<StoreKind, StoreFeed>,
    private val snapshots: PeerSnapshots,
    private val log: DecisionLog,
) {
    private val running = HashSet<StoreKind>()

    /** Compares the revisions that [peer] announced with those of this VM. */
    fun compare(peer: PeerVm) {
        for ((index, revision) in peer.announcement.revisions.withIndex()) {
            val feed = feeds[StoreKind.entries.getOrNull(index)] ?: continue
            if (revision > feed.changedRevision && running.add(feed.kind)) {
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
            running.remove(feed.kind)
        }
    }

    private companion object {
        /** Longer than a feed pauses between two watches, so that a peer is asked only if the watch is silent. */
        val CATCH_UP_DELAY = 500.milliseconds
    }
}
