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

/** What a [StoreFeed] tells about the objects of its kind. */
public interface StoreFeedListener {
    /** All objects of the kind; with [storeWasAway] entries may have lapsed while the store was unreachable. */
    public fun listed(objects: List<StoreObject>, storeWasUnreachable: Boolean)

    /** Changes in the order in which they were made. */
    public fun changed(events: List<StoreEvent>, storeWasUnreachable: Boolean)
}

/**
 * Copy of all objects of one kind, kept up to date by one watch, or by a peer while the watch is silent.
 *
 * Only the thread of its coroutine context may use it.
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

    /** Store revision up to which the objects are known to have changed; -1 before the first listing. */
    public var changedRevision: Long = NO_REVISION
        private set

    /** Whether the objects were listed at least once. */
    public val hasListing: Boolean
        get() = changedRevision != NO_REVISION

    /** The objects as last seen. */
    public fun snapshot(): StoreListing = StoreListing(objects.values.toList(), changedRevision)

    /** Takes over a peer's copy if it is newer, and watches from there on. */
    public fun adopt(listing: StoreListing) {
        if (listing.revision <= changedRevision) return
        log.info("feed-adopted", "kind" to kind, "from" to changedRevision, "to" to listing.revision)
        // The peer may have listed while entries were lapsed, so missing entries are not taken as ended at once.
        applyListing(listing, storeWasUnreachable = unreachableSince != null || wasUnreachableRecently())
        watchJob?.cancel()
    }

    /** Lists and watches until it is cancelled. */
    public suspend fun run() {
        while (true) {
            coroutineScope {
                watchJob = launch { follow() }
                watchJob?.join()
            }
        }
    }

    private suspend fun follow() {
        var backoff = FIRST_BACKOFF
        while (true) {
            val result = if (watchRevision == NO_REVISION) list() else watch()
            when (result) {
                is StoreResult.Success -> {
                    recordSuccess()
                    backoff = FIRST_BACKOFF
                }

                StoreResult.HistoryGone -> {
                    log.info("feed-history-gone", "kind" to kind, "revision" to watchRevision)
                    watchRevision = NO_REVISION
                }

                is StoreResult.Conflict, is StoreResult.Refused, is StoreResult.NoAnswer -> {
                    recordFailure(result)
                    delay(backoff * Random.nextDouble(LOWEST_JITTER, 1.0))
                    backoff = (backoff * 2).coerceAtMost(LONGEST_BACKOFF)
                }
            }
        }
    }

    private suspend fun list(): StoreResult<Unit> {
        val result = store.list(kind)
        if (result !is StoreResult.Success) return result.withoutValue()
        val listing = result.value
        // A listing that is older than a peer's copy would take back what is in force.
        if (listing.revision >= changedRevision) applyListing(listing, wasUnreachableRecently())
        watchRevision = maxOf(listing.revision, watchRevision)
        return StoreResult.Success(Unit)
    }

    private suspend fun watch(): StoreResult<Unit> {
        val result = store.watch(kind, watchRevision, WATCH_WAIT)
        if (result !is StoreResult.Success) return result.withoutValue()
        val changes = result.value
        val events = changes.events.filter {
            it.changed.revision > (objects[it.changed.name]?.revision ?: 0) ||
                it.removed
        }
        if (events.isNotEmpty()) {
            for (event in events) {
                if (event.removed) objects.remove(event.changed.name) else objects[event.changed.name] = event.changed
            }
            changedRevision = maxOf(changedRevision, changes.revision)
            listener.changed(events, wasUnreachableRecently())
        }
        watchRevision = maxOf(watchRevision, changes.revision)
        // Changes come in series, and each answer is a priced call: those of the next moment share one answer.
        if (events.isNotEmpty()) delay(SETTLE_TIME)
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
        return reachableAgainAt?.let { clock() - it < LAPSE_WINDOW } ?: false
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

        /** Each call is priced; a peer's newer revision shows a silent watch sooner than a short wait would. */
        val WATCH_WAIT = 10.seconds

        /** A tenth of the shortest time in which a change has to be in force. */
        val SETTLE_TIME = 250.milliseconds
        val FIRST_BACKOFF = 50.milliseconds
        val LONGEST_BACKOFF = 1.seconds
        const val LOWEST_JITTER = 0.5

        /** Removals that are seen this soon after the store's return may be lapses of living targets. */
        val LAPSE_WINDOW: Duration = 2.seconds
    }
}
