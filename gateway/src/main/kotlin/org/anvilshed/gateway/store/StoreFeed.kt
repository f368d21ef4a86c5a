package org.anvilshed.gateway.store

import kotlinx.coroutines.Job
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.anvilshed.core.MonotonicTime
import org.anvilshed.core.fleet.StoreContact
import org.anvilshed.gateway.DecisionLog
import org.anvilshed.gateway.MonotonicClock
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Receiver of the objects of a [StoreFeed] and of their changes. */
public interface StoreFeedListener {
    /** Called with all [objects] of the kind, which replace those received earlier. */
    public fun listed(objects: List<StoreObject>, continuity: StoreContinuity)

    /** Called with changes in the order in which they were made. */
    public fun changed(events: List<StoreEvent>, continuity: StoreContinuity)
}

/**
 * Copy of all objects of one kind, kept up to date by a watch on the store.
 *
 * While the watch delivers nothing, [adopt] accepts newer copies of other entry VMs. When the store was restored from
 * an older copy, all objects are listed again, and known content that is newer than the store's stays in the copy.
 * Confined to the thread of the coroutine that calls [run].
 *
 * @param holdTime returns how long a content is held that may be older than the known one, see [KnownObjects].
 * @param versionOf returns the version of a content, or `null` if the content does not state it.
 * @param contact records the responses of the store; shared by all feeds of a VM.
 */
public class StoreFeed(
    public val kind: StoreKind,
    private val store: ObjectStore,
    private val listener: StoreFeedListener,
    holdTime: () -> Duration,
    private val versionOf: (StoreObject) -> ContentVersion?,
    private val contact: StoreContact,
    private val log: DecisionLog,
    private val clock: MonotonicClock,
) {
    // A config stays in force until a newer one is known; the listener decides whether a lost target still exists.
    private val objects = KnownObjects(keepsLost = kind == StoreKind.CONFIG, holdTime, versionOf)
    private var watchRevision = StoreRevision.NONE
    private var watchJob: Job? = null
    private var unreachableSince: MonotonicTime? = null

    /** Whether a call has failed since the last watch, so that the store may have been restored unnoticed. */
    private var mustVerifyEra = false

    /** Store revision of the latest change that is known; [StoreRevision.NONE] before the first listing. */
    public var changedRevision: StoreRevision = StoreRevision.NONE
        private set

    /** Store revision up to which all changes of the kind are known; [StoreRevision.NONE] before the first listing. */
    public val verifiedRevision: StoreRevision
        get() = maxOf(changedRevision, watchRevision)

    /** Whether all objects were received at least once, from the store or from a peer. */
    public val hasListing: Boolean
        get() = changedRevision != StoreRevision.NONE

    /**
     * Returns the objects as last received. An object has two contents if a later one is held; the receiver decides
     * about both in this order.
     */
    public fun snapshot(): StoreListing = StoreListing(objects.contents, changedRevision)

    /**
     * Replaces the objects by a peer's [listing] if it is newer, and continues the watch from its revision. Of a
     * listing that is not newer, only configs of higher versions are taken.
     */
    public fun adopt(listing: StoreListing) {
        if (listing.revision > changedRevision) {
            log.info("feed-adopted", "kind" to kind, "from" to changedRevision, "to" to listing.revision)
            applyListing(listing)
            // The peer is ahead, so the watch may have gone silent.
            watchAgain()
        } else if (kind == StoreKind.CONFIG) {
            val newer = listing.objects.filter(objects::takeNewerContent)
            if (newer.isEmpty()) return
            log.info("feed-content-adopted", "kind" to kind, "names" to newer.map { it.name })
            listener.changed(newer.map { StoreEvent(it, removed = false) }, StoreContinuity.CONTINUOUS)
        }
    }

    /** Puts contents into effect that were held long enough, unless the store is away and can't have replaced them. */
    public fun takeHeld() {
        val now = clock()
        if (contact.mayReturnUntilOrNull(now) != null) return
        val taken = objects.takeHeld(now)
        if (taken.isEmpty()) return
        log.info("feed-held-taken", "kind" to kind, "names" to taken.map { it.name })
        listener.changed(taken.map { StoreEvent(it, removed = false) }, StoreContinuity.CONTINUOUS)
    }

    /** Lists all objects again if another call has shown that the store was restored since the last listing. */
    public fun checkEra() {
        if (watchRevision == StoreRevision.NONE || watchRevision.era >= store.era) return
        listAgainAfterRestore(store.era)
        watchAgain()
    }

    /** Abandons the call in progress and starts another one, on a new connection. */
    public fun watchAgain() {
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
            val result = if (watchRevision == StoreRevision.NONE) list() else watch()
            when (result) {
                is StoreResult.Success -> {
                    recordSuccess()
                    backoff = INITIAL_BACKOFF
                }

                StoreResult.HistoryGone -> {
                    log.info("feed-history-gone", "kind" to kind, "revision" to watchRevision)
                    watchRevision = StoreRevision.NONE
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
        contact.recordResponse(clock())
        val listing = result.value
        log.info(
            "feed-listed",
            "kind" to kind,
            "objects" to listing.objects.size,
            "revision" to listing.revision,
            "known" to changedRevision,
        )
        // A listing that is older than an adopted copy of a peer would revert changes that are in effect.
        if (listing.revision >= changedRevision) applyListing(listing)
        watchRevision = maxOf(listing.revision, watchRevision)
        return StoreResult.Success(Unit)
    }

    private suspend fun watch(): StoreResult<Unit> {
        // A restored store may know the revision as that of another change, and would let the watch wait.
        val wait = if (mustVerifyEra) SHORT_WATCH_WAIT else WATCH_WAIT
        val result = store.watch(kind, watchRevision, wait)
        if (result is StoreResult.Success || result == StoreResult.HistoryGone) contact.recordResponse(clock())
        if (result !is StoreResult.Success) return result.withoutValue()
        mustVerifyEra = false
        val changes = result.value
        if (changes.revision.era != watchRevision.era) {
            listAgainAfterRestore(changes.revision.era)
            return StoreResult.Success(Unit)
        }
        if (changes.events.isNotEmpty()) applyChanges(changes)
        watchRevision = maxOf(watchRevision, changes.revision)
        // Changes come in bursts, and each watch response is charged: the pause batches changes that follow shortly.
        if (changes.events.isNotEmpty()) delay(BATCH_DELAY)
        return StoreResult.Success(Unit)
    }

    private fun applyChanges(changes: StoreChanges) {
        val now = clock()
        val mayHaveExpired = contact.mayHaveExpired(now)
        val events = changes.events.filter { event ->
            val known = objects.versionOrNull(event.changed.name)
            val reception = objects.apply(event, mayHaveExpired, now)
            if (reception != Reception.TAKEN) {
                log.info(
                    "feed-content-${reception.name.lowercase()}",
                    "kind" to kind,
                    "name" to event.changed.name,
                    "revision" to event.changed.revision,
                    "version" to versionOf(event.changed),
                    "known" to known,
                )
            }
            reception == Reception.TAKEN
        }
        if (events.size < changes.events.size) {
            log.info(
                "feed-events-dropped",
                "kind" to kind,
                "count" to changes.events.size - events.size,
                "revision" to changes.revision,
                "known" to changedRevision,
            )
        }
        changedRevision = maxOf(changedRevision, changes.revision)
        if (events.isNotEmpty()) listener.changed(events, continuity())
    }

    private fun listAgainAfterRestore(era: Long) {
        log.info("store-restored", "kind" to kind, "from" to watchRevision, "era" to era)
        watchRevision = StoreRevision.NONE
    }

    private fun applyListing(listing: StoreListing) {
        val isRestored = hasListing && listing.revision.era > changedRevision.era
        val now = clock()
        if (isRestored) contact.recordRestored(now)
        objects.replaceAll(listing, contact.mayHaveExpired(now), now)
        changedRevision = listing.revision
        watchRevision = listing.revision
        listener.listed(objects.values.toList(), if (isRestored) StoreContinuity.RESTORED else continuity())
    }

    private fun continuity(): StoreContinuity =
        if (contact.mayReturnUntilOrNull(clock()) != null) StoreContinuity.INTERRUPTED else StoreContinuity.CONTINUOUS

    private fun recordFailure(result: StoreResult<*>) {
        mustVerifyEra = true
        contact.recordFailure(isSilent = result is StoreResult.NoAnswer && result.isSilent, clock())
        if (unreachableSince != null) return
        unreachableSince = clock()
        log.info("store-lost", "kind" to kind, "cause" to result.toString())
    }

    private fun recordSuccess() {
        val since = unreachableSince ?: return
        val now = clock()
        unreachableSince = null
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
        /** Each call is charged; a peer's newer revision reveals a stalled watch sooner than a shorter wait. */
        val WATCH_WAIT = 10.seconds

        /** Returns at once; the shortest wait that the store accepts. */
        val SHORT_WATCH_WAIT = 1.milliseconds

        /** A tenth of the shortest time within which a change must take effect. */
        val BATCH_DELAY = 250.milliseconds
        val INITIAL_BACKOFF = 50.milliseconds
        val MAXIMUM_BACKOFF = 1.seconds
        const val MINIMUM_JITTER_FACTOR = 0.5
    }
}
