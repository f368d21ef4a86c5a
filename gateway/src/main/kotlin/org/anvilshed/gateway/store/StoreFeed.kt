package org.anvilshed.gateway.store

import kotlinx.coroutines.Job
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.anvilshed.core.MonotonicTime
import org.anvilshed.gateway.DecisionLog
import org.anvilshed.gateway.MonotonicClock
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Receiver of the objects of a [StoreFeed] and of their changes.
 *
 * If `storeWasUnreachable` is `true`, entries may have expired only because their owners could not renew them.
 */
public interface StoreFeedListener {
    /** Called with all [objects] of the kind, which replace those received earlier. */
    public fun listed(objects: List<StoreObject>, storeWasUnreachable: Boolean)

    /** Called with changes in the order in which they were made. */
    public fun changed(events: List<StoreEvent>, storeWasUnreachable: Boolean)
}

/**
 * Copy of all objects of one kind, kept up to date by a watch on the store.
 *
 * While the watch delivers nothing, [adopt] accepts newer copies of other entry VMs. Confined to the thread of the
 * coroutine that calls [run].
 */
public class StoreFeed(
    public val kind: StoreKind,
    private val store: ObjectStore,
    private val listener: StoreFeedListener,
    private val log: DecisionLog,
    private val clock: MonotonicClock,
) {
    private val objects = LinkedHashMap<String, StoreObject>()
    private var watchRevision = NO_REVISION
    private var watchJob: Job? = null
    private var unreachableSince: MonotonicTime? = null
    private var reachableAgainAt: MonotonicTime? = null

    /** Store revision of the latest change that is known; -1 before the first listing. */
    public var changedRevision: Long = NO_REVISION
        private set

    /** Whether all objects were received at least once, from the store or from a peer. */
    public val hasListing: Boolean
        get() = changedRevision != NO_REVISION

    /** Returns the objects as last received. */
    public fun snapshot(): StoreListing = StoreListing(objects.values.toList(), changedRevision)

    /** Replaces the objects by a peer's [listing] if it is newer, and continues the watch from its revision. */
    public fun adopt(listing: StoreListing) {
        if (listing.revision <= changedRevision) return
        log.info("feed-adopted", "kind" to kind, "from" to changedRevision, "to" to listing.revision)
        // The peer may have listed while entries were expired, so a missing entry does not prove that its owner ended.
        applyListing(listing, storeWasUnreachable = unreachableSince != null || wasUnreachableRecently())
        watchJob?.cancel()
    }

    /** Follows the store until cancelled. */
    public suspend fun run() {
        while (true) {
            coroutineScope {
                watchJob = launch { listAndWatch() }
                watchJob?.join()
            }
        }
    }

    private suspend fun listAndWatch() {
        var backoff = INITIAL_BACKOFF
        while (true) {
            val result = if (watchRevision == NO_REVISION) list() else watch()
            when (result) {
                is StoreResult.Success -> {
                    recordSuccess()
                    backoff = INITIAL_BACKOFF
                }

                StoreResult.HistoryGone -> {
                    log.info("feed-history-gone", "kind" to kind, "revision" to watchRevision)
                    watchRevision = NO_REVISION
                }

                is StoreResult.Conflict, is StoreResult.Refused, is StoreResult.NoAnswer -> {
                    recordFailure(result)
                    delay(backoff * Random.nextDouble(MINIMUM_JITTER_FACTOR, 1.0))
                    backoff = (backoff * 2).coerceAtMost(MAXIMUM_BACKOFF)
                }
            }
        }
    }

    private suspend fun list(): StoreResult<Unit> {
        val result = store.list(kind)
        if (result !is StoreResult.Success) return result.withoutValue()
        val listing = result.value
        log.info(
            "feed-listed",
            "kind" to kind,
            "objects" to listing.objects.size,
            "revision" to listing.revision,
            "known" to changedRevision,
            "era" to store.era,
        )
        // A listing that is older than an adopted copy of a peer would revert changes that are in effect.
        if (listing.revision >= changedRevision) applyListing(listing, wasUnreachableRecently())
        watchRevision = maxOf(listing.revision, watchRevision)
        return StoreResult.Success(Unit)
    }

    private suspend fun watch(): StoreResult<Unit> {
        val result = store.watch(kind, watchRevision, WATCH_WAIT)
        if (result !is StoreResult.Success) return result.withoutValue()
        val changes = result.value
        if (changes.revision < watchRevision) {
            log.info("feed-went-back", "kind" to kind, "from" to watchRevision, "to" to changes.revision)
        }
        val events = changes.events.filter {
            it.changed.revision > (objects[it.changed.name]?.revision ?: 0) ||
                it.removed
        }
        if (events.size < changes.events.size) {
            log.info(
                "feed-events-dropped",
                "kind" to kind,
                "count" to changes.events.size - events.size,
                "revision" to changes.revision,
                "known" to changedRevision,
                "era" to store.era,
            )
        }
        if (events.isNotEmpty()) {
            for (event in events) {
                if (event.removed) objects.remove(event.changed.name) else objects[event.changed.name] = event.changed
            }
            changedRevision = maxOf(changedRevision, changes.revision)
            listener.changed(events, wasUnreachableRecently())
        }
        watchRevision = maxOf(watchRevision, changes.revision)
        // Changes come in bursts, and each watch response is charged: the pause batches changes that follow shortly.
        if (events.isNotEmpty()) delay(BATCH_DELAY)
        return StoreResult.Success(Unit)
    }

    private fun applyListing(listing: StoreListing, storeWasUnreachable: Boolean) {
        objects.clear()
        listing.objects.associateByTo(objects) { it.name }
        changedRevision = listing.revision
        watchRevision = listing.revision
        listener.listed(listing.objects, storeWasUnreachable)
    }

    private fun wasUnreachableRecently(): Boolean {
        if (unreachableSince != null) return true
        return reachableAgainAt?.let { clock() - it < EXPIRY_WINDOW } ?: false
    }

    private fun recordFailure(result: StoreResult<*>) {
        if (unreachableSince != null) return
        unreachableSince = clock()
        log.info("store-lost", "kind" to kind, "cause" to result.toString())
    }

    private fun recordSuccess() {
        val since = unreachableSince ?: return
        val now = clock()
        unreachableSince = null
        reachableAgainAt = now
        log.info("store-regained", "kind" to kind, "away_ms" to (now - since).inWholeMilliseconds)
    }

    private fun StoreResult<*>.withoutValue(): StoreResult<Unit> = when (this) {
        is StoreResult.Success -> StoreResult.Success(Unit)
        StoreResult.HistoryGone -> StoreResult.HistoryGone
        is StoreResult.Conflict -> this
        is StoreResult.Refused -> this
        is StoreResult.NoAnswer -> this
    }

    private companion object {
        const val NO_REVISION = -1L

        /** Each call is charged; a peer's newer revision reveals a stalled watch sooner than a shorter wait. */
        val WATCH_WAIT = 10.seconds

        /** A tenth of the shortest time within which a change must take effect. */
        val BATCH_DELAY = 250.milliseconds
        val INITIAL_BACKOFF = 50.milliseconds
        val MAXIMUM_BACKOFF = 1.seconds
        const val MINIMUM_JITTER_FACTOR = 0.5

        /** A removal within this time after the store is reachable again may be the expired entry of a live target. */
        val EXPIRY_WINDOW: Duration = 2.seconds
    }
}
