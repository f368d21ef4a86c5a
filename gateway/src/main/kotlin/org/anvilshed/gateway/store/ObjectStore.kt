package org.anvilshed.gateway.store

import io.vertx.core.json.JsonObject
import org.anvilshed.gateway.PendingCalls
import kotlin.time.Duration

/** Kinds of store objects that entry VMs read or write. */
public enum class StoreKind {
    /** Config of routes, services and limits. */
    CONFIG,

    /** Registered targets. */
    TARGETS,

    /** Zones that are evacuated: their targets get no requests. */
    EVACUATIONS,

    /** Registered entry VMs. */
    ENTRY_VMS,
}

/**
 * Object in the store.
 *
 * @property revision store revision of its last change.
 * @property content JSON object that its writer stored, or `null` if the stored value is not a JSON object.
 */
public data class StoreObject(
    public val name: String,
    public val revision: StoreRevision,
    public val content: JsonObject?,
)

/**
 * Change of one object.
 *
 * @property removed whether the object was removed instead of created or replaced.
 */
public data class StoreEvent(public val changed: StoreObject, public val removed: Boolean)

/** All objects of a kind, as of store revision [revision]. */
public data class StoreListing(public val objects: List<StoreObject>, public val revision: StoreRevision)

/** Changes of the objects of a kind, up to store revision [revision]. */
public data class StoreChanges(public val events: List<StoreEvent>, public val revision: StoreRevision)

/** Outcome of a call to the store. */
public sealed interface StoreResult<out T> {
    /** The store performed the call. */
    public data class Success<T>(public val value: T) : StoreResult<T>

    /** The store no longer has the changes after the requested revision; the objects must be listed again. */
    public data object HistoryGone : StoreResult<Nothing>

    /**
     * The object exists already, is missing, or has another revision than the call stated.
     *
     * @property present the object in the store, if the store returned it.
     */
    public data class Conflict(public val present: StoreObject?) : StoreResult<Nothing>

    /**
     * The store rejected the call without any effect.
     *
     * @property status HTTP status of the response.
     */
    public data class Refused(public val status: Int) : StoreResult<Nothing>

    /**
     * No usable response arrived; a write may have taken effect or may still do so.
     *
     * @property cause what failed, for the log.
     * @property isSilent whether nothing arrived within the time limit of the call, not even an error.
     */
    public data class NoAnswer(public val cause: String, public val isSilent: Boolean = false) : StoreResult<Nothing>
}

/** Store of versioned objects that all entry VMs share. */
public interface ObjectStore {
    /**
     * Number of times that the store was restored from an older copy, as far as its responses showed; 0 if unknown.
     *
     * All results are of this era: responses from before a restore that arrive after it count as no answer.
     */
    public val era: Long

    /** Calls in progress, for the metrics. */
    public val pendingCalls: PendingCalls

    /** Lists all objects of [kind]; with [staleAllowed] the listing may be several seconds old and is charged less. */
    public suspend fun list(kind: StoreKind, staleAllowed: Boolean = false): StoreResult<StoreListing>

    /**
     * Waits up to [wait] for changes to objects of [kind] after [revision]; returns no events if there are none.
     *
     * The era of [revision] is not checked: if the result is of another era, changes may be missing.
     */
    public suspend fun watch(kind: StoreKind, revision: StoreRevision, wait: Duration): StoreResult<StoreChanges>

    /**
     * Returns the revision of the store, which may be several seconds old; costs a fraction of another call.
     *
     * Without a response within [timeout], the result is a silent [StoreResult.NoAnswer].
     */
    public suspend fun latestRevision(timeout: Duration): StoreResult<StoreRevision>

    /** Makes all later calls use new connections; calls in progress go on. */
    public fun renewConnections()

    /** Creates the object [name], or replaces its content regardless of its revision; returns the era of the store. */
    public suspend fun put(kind: StoreKind, name: String, content: JsonObject): StoreResult<Long>

    /** Removes the object [name]; succeeds if there is no such object. */
    public suspend fun delete(kind: StoreKind, name: String): StoreResult<Unit>
}
