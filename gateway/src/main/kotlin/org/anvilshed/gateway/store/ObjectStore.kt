package org.anvilshed.gateway.store

import io.vertx.core.json.JsonObject
import kotlin.time.Duration

/** Kinds of objects that entry VMs read or write. */
public enum class StoreKind {
    /** Steering intent. */
    CONFIG,

    /** Registered targets. */
    TARGETS,

    /** Zones whose targets get no requests. */
    EVACUATIONS,

    /** Entry VMs. */
    ENTRY_VMS,
}

/**
 * Object as it lies in the store.
 *
 * @property revision store revision of its last change.
 * @property content what its writer stored, or `null` if it is not a JSON object.
 */
public data class StoreObject(public val name: String, public val revision: Long, public val content: JsonObject?)

/** Change of one object. */
public data class StoreEvent(public val changed: StoreObject, public val removed: Boolean)

/** All objects of a kind at a store revision. */
public data class StoreListing(public val objects: List<StoreObject>, public val revision: Long)

/** Changes of a kind up to a store revision. */
public data class StoreChanges(public val events: List<StoreEvent>, public val revision: Long)

/** Outcome of a call to the store. */
public sealed interface StoreResult<out T> {
    /** The store answered. */
    public data class Success<T>(public val value: T) : StoreResult<T>

    /** The history that a watch asked for is gone; the objects have to be listed again. */
    public data object HistoryGone : StoreResult<Nothing>

    /** The object has another revision than the call named, exists already, or is missing. */
    public data class Conflict(public val present: StoreObject?) : StoreResult<Nothing>

    /** The store refused the call, so nothing was done. */
    public data class Refused(public val status: Int) : StoreResult<Nothing>

    /** No answer arrived; a write may have been done or may still be done. */
    public data class NoAnswer(public val cause: String) : StoreResult<Nothing>
}

/** The platform's store of versioned objects. */
public interface ObjectStore {
    /** Lists all objects of [kind]; with [staleAllowed] the listing may be seconds old and costs less. */
    public suspend fun list(kind: StoreKind, staleAllowed: Boolean = false): StoreResult<StoreListing>

    /** Waits for at most [wait] for changes of [kind] after [revision]. */
    public suspend fun watch(kind: StoreKind, revision: Long, wait: Duration): StoreResult<StoreChanges>

    /** Creates the object [name], or replaces its content whatever its revision. */
    public suspend fun put(kind: StoreKind, name: String, content: JsonObject): StoreResult<Unit>

    /** Removes the object [name]; success if it was missing already. */
    public suspend fun delete(kind: StoreKind, name: String): StoreResult<Unit>
}
