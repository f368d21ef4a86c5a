package org.anvilshed.gateway.peers

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.anvilshed.core.SocketAddress
import org.anvilshed.core.VmName
import org.anvilshed.gateway.DecisionLog
import org.anvilshed.gateway.store.StoreFeed
import org.anvilshed.gateway.store.StoreKind
import org.anvilshed.gateway.store.StoreListing
import kotlin.time.Duration.Companion.milliseconds

/**
 * Fetches copies of store objects from peers that have newer ones.
 *
 * A watch may stall without an error, and a VM may be partitioned from the store. In both cases the revisions that
 * peers announce are higher than those of this VM. After the store was restored from an older copy, a peer may know a
 * newer config than the store, which only its version shows.
 *
 * @param fetchOrNull returns the objects of a kind that the VM at an address has, or `null` without a response in time.
 * @param onFault called with each unexpected exception that ended a catch-up.
 * @param configVersion returns the version of the config in force, or [AnnouncedStore.NO_CONFIG].
 */
internal class FeedCatchUp(
    private val scope: CoroutineScope,
    private val feeds: Map<StoreKind, StoreFeed>,
    private val fetchOrNull: suspend (SocketAddress, StoreKind) -> StoreListing?,
    private val onFault: (Throwable) -> Unit,
    private val configVersion: () -> Long,
    private val log: DecisionLog,
) {
    /** Peers that announced newer objects of each kind since its catch-up began; the latest one is the last. */
    private val newerPeers = HashMap<StoreKind, LinkedHashMap<VmName, PeerVm>>()

    /** Starts to fetch the objects of each kind of which [peer] announced newer ones. */
    fun fetchNewer(peer: PeerVm) {
        for (feed in feeds.values) {
            if (!isNewer(peer.announcement.store, feed)) continue
            val isIdle = feed.kind !in newerPeers
            val peers = newerPeers.getOrPut(feed.kind) { LinkedHashMap() }
            peers.remove(peer.name)
            peers[peer.name] = peer
            if (isIdle) scope.launch { catchUp(feed, peers) }
        }
    }

    private suspend fun catchUp(feed: StoreFeed, peers: LinkedHashMap<VmName, PeerVm>) {
        try {
            if (feed.hasListing) delay(CATCH_UP_DELAY)
            val askedPeers = HashSet<VmName>()
            while (true) {
                // A peer that was heard lately is the most likely to respond.
                val peer = peers.values.lastOrNull { it.name !in askedPeers && isNewer(it.announcement.store, feed) }
                    ?: break
                val listing = fetchOrNull(peer.control, feed.kind)
                askedPeers.add(peer.name)
                if (listing != null) feed.adopt(listing) else log.info("peer-copy-missing", "peer" to peer.name)
            }
        } catch (cancelled: CancellationException) {
            throw cancelled
        } catch (@Suppress("TooGenericExceptionCaught") fault: Exception) {
            onFault(fault)
        } finally {
            newerPeers.remove(feed.kind)
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
