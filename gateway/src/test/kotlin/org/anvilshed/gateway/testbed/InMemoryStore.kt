package org.anvilshed.gateway.testbed

import io.vertx.core.json.JsonObject
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import org.anvilshed.gateway.PendingCalls
import org.anvilshed.gateway.store.ObjectStore
import org.anvilshed.gateway.store.StoreChanges
import org.anvilshed.gateway.store.StoreEvent
import org.anvilshed.gateway.store.StoreKind
import org.anvilshed.gateway.store.StoreListing
import org.anvilshed.gateway.store.StoreObject
import org.anvilshed.gateway.store.StoreResult
import org.anvilshed.gateway.store.StoreRevision
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Object store in memory that can simulate failures of a real store. */
class InMemoryStore : ObjectStore {
    private class Entry(val kind: StoreKind, val event: StoreEvent)

    private val lock = Any()
    private val objects = HashMap<Pair<StoreKind, String>, StoreObject>()
    private val history = ArrayList<Entry>()
    private val waiting = CopyOnWriteArrayList<CompletableDeferred<Unit>>()
    private var revision = 10L
    private var oldestRevision = 0L

    /** Whether calls are refused. */
    @Volatile
    var isDown = false

    /** Thrown by the next call, as by a fault of the client. */
    @Volatile
    var nextFault: RuntimeException? = null

    /** Whether watches return nothing, not even changes, before their wait has passed. */
    @Volatile
    var areWatchesStalled = false

    /** Time by which watches return each change later than it was made. */
    @Volatile
    var changeDelay = Duration.ZERO

    /** Number of times that connections were renewed. */
    @Volatile
    var renewals = 0
        private set

    /** Calls that were made before this many renewals get no response. */
    @Volatile
    private var silentRenewals = 0

    /** Calls on the open connections get no response, until the caller renews its connections. */
    fun silenceOpenConnections() {
        silentRenewals = renewals + 1
    }

    @Volatile
    override var era = 0L
        private set

    override val pendingCalls = PendingCalls()

    /** Content of the store at one time, for [restore]. */
    class Copy internal constructor(
        internal val objects: Map<Pair<StoreKind, String>, StoreObject>,
        internal val revision: Long,
    )

    /** Number of calls except stale listings. */
    @Volatile
    var calls = 0

    fun set(kind: StoreKind, name: String, content: JsonObject) = change(kind, name, content, removed = false)

    fun remove(kind: StoreKind, name: String) = change(kind, name, null, removed = true)

    /** Makes watches from earlier revisions fail with [StoreResult.HistoryGone]. */
    fun forgetHistory() = synchronized(lock) {
        history.clear()
        oldestRevision = revision
    }

    /** Returns the names of all objects of [kind]. */
    fun names(kind: StoreKind): Set<String> =
        synchronized(lock) { objects.keys.filter { it.first == kind }.mapTo(HashSet()) { it.second } }

    /** Returns a copy of the present content. */
    fun copy(): Copy = synchronized(lock) { Copy(HashMap(objects), revision) }

    /** Replaces the content by [copy]: later changes are lost, and their revisions are assigned again. */
    fun restore(copy: Copy) = synchronized(lock) {
        era++
        revision = copy.revision
        objects.clear()
        for ((key, item) in copy.objects) objects[key] = item.copy(revision = item.revision.copy(era = era))
        history.removeIf { it.event.changed.revision.number > copy.revision }
    }

    override suspend fun latestRevision(timeout: Duration): StoreResult<StoreRevision> {
        val result = withTimeoutOrNull(timeout) {
            answer { if (isDown) StoreResult.Refused(503) else StoreResult.Success(synchronized(lock) { latest() }) }
        }
        return result ?: StoreResult.NoAnswer("no answer", isSilent = true)
    }

    override fun renewConnections() {
        renewals++
    }

    /** Returns what [call] returns, unless the connection has gone silent before the end of the call. */
    private suspend fun <T> answer(call: suspend () -> T): T {
        nextFault?.let { fault ->
            nextFault = null
            throw fault
        }
        val connection = renewals
        val result = call()
        if (connection < silentRenewals) awaitCancellation()
        return result
    }

    private fun latest() = StoreRevision(era, revision)

    override suspend fun list(kind: StoreKind, staleAllowed: Boolean): StoreResult<StoreListing> = answer {
        listObjects(kind, staleAllowed)
    }

    override suspend fun watch(kind: StoreKind, revision: StoreRevision, wait: Duration): StoreResult<StoreChanges> =
        answer { watchObjects(kind, revision, wait) }

    private fun listObjects(kind: StoreKind, staleAllowed: Boolean): StoreResult<StoreListing> {
        if (!staleAllowed) calls++
        if (isDown) return StoreResult.Refused(503)
        return synchronized(lock) {
            StoreResult.Success(
                StoreListing(
                    objects.filterKeys {
                        it.first == kind
                    }.values.toList(),
                    latest(),
                ),
            )
        }
    }

    private suspend fun watchObjects(
        kind: StoreKind,
        revision: StoreRevision,
        wait: Duration,
    ): StoreResult<StoreChanges> {
        calls++
        if (areWatchesStalled) delay(wait)
        if (isDown) return StoreResult.Refused(503)
        withTimeoutOrNull(wait) {
            while (!isDown && eventsAfter(kind, revision.number).isEmpty() && !isForgotten(revision.number)) {
                val change = CompletableDeferred<Unit>()
                waiting.add(change)
                withTimeoutOrNull(POLL) { change.await() }
                waiting.remove(change)
            }
        }
        if (areWatchesStalled) delay(wait)
        delay(changeDelay)
        if (isDown) return StoreResult.Refused(503)
        if (isForgotten(revision.number)) return StoreResult.HistoryGone
        return synchronized(lock) {
            StoreResult.Success(StoreChanges(eventsAfter(kind, revision.number), StoreRevision(era, this.revision)))
        }
    }

    override suspend fun put(kind: StoreKind, name: String, content: JsonObject): StoreResult<Long> {
        calls++
        if (isDown) return StoreResult.Refused(503)
        set(kind, name, content)
        return StoreResult.Success(era)
    }

    override suspend fun delete(kind: StoreKind, name: String): StoreResult<Unit> {
        calls++
        if (isDown) return StoreResult.Refused(503)
        remove(kind, name)
        return StoreResult.Success(Unit)
    }

    private fun isForgotten(revision: Long): Boolean =
        synchronized(lock) { revision < oldestRevision || revision > this.revision }

    private fun eventsAfter(kind: StoreKind, revision: Long): List<StoreEvent> = synchronized(lock) {
        history.filter { it.kind == kind && it.event.changed.revision.number > revision }.map { it.event }
    }

    private fun change(kind: StoreKind, name: String, content: JsonObject?, removed: Boolean) {
        synchronized(lock) {
            val changed = StoreObject(name, StoreRevision(era, ++revision), content)
            if (removed) objects.remove(kind to name) else objects[kind to name] = changed
            history.add(Entry(kind, StoreEvent(changed, removed)))
        }
        waiting.forEach { it.complete(Unit) }
    }

    private companion object {
        val POLL = 50.milliseconds
    }
}
