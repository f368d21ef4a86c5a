package org.anvilshed.daemon.request

import io.vertx.core.buffer.Buffer
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.async
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive

/** Length in bytes of the beginning of a body that is kept for further attempts. */
internal const val REPLAY_BYTES = 64 * 1024

/** Thrown when a body is longer than the service allows. */
internal class BodyTooLargeException : Exception("the body is longer than the service allows")

/**
 * Body of a request. Its beginning, at most [REPLAY_BYTES] and one chunk, is read before the request is dispatched, so
 * that a slow sender of a short body occupies no slot. A failed attempt can be repeated as long as nothing beyond the
 * beginning was read. Used by one coroutine at a time.
 *
 * @param scope scope of the request. Reads continue in it when an attempt is cancelled, so that no chunk is lost.
 * @param limit largest allowed length in bytes.
 */
internal class RequestBody(private val scope: CoroutineScope, private val limit: Long, private val source: BodySource) {
    private val beginning = ArrayList<Buffer>()
    private var length = 0L
    private var ended = false
    private var readBeyondBeginning = false
    private var pending: Deferred<Result<Buffer?>>? = null

    /** Whether the whole body can be sent again. */
    val isReplayable: Boolean get() = !readBeyondBeginning

    /** Length of the body in bytes if its beginning is the whole body and was read, otherwise `null`. */
    val knownLength: Long? get() = length.takeIf { ended && !readBeyondBeginning }

    /**
     * Reads the beginning of the body.
     *
     * @throws BodyTooLargeException if the body exceeds the limit.
     * @throws IncompleteBodyException if the sender went away before the end of the body.
     */
    suspend fun readBeginning() {
        while (!ended && length < REPLAY_BYTES) nextChunk()?.let { beginning += it }
    }

    /**
     * Passes the chunks of the body to [write], from the first one.
     *
     * @throws BodyTooLargeException if the body exceeds the limit.
     * @throws IncompleteBodyException if the sender went away before the end of the body.
     */
    suspend fun forEach(write: suspend (Buffer) -> Unit) {
        check(isReplayable) { "the body cannot be sent again: it was read beyond its beginning" }
        for (chunk in beginning) write(chunk)
        while (!ended) {
            readBeyondBeginning = true
            nextChunk()?.let { write(it) }
        }
    }

    /** Cancels a pending read. Must be called when the request has ended. */
    fun close() {
        pending?.cancel()
    }

    private suspend fun nextChunk(): Buffer? {
        val read = pending ?: scope.async(start = CoroutineStart.UNDISPATCHED) { runCatching { source.next() } }
        pending = read
        val chunk = try {
            read.await().getOrThrow()
        } catch (cancelled: CancellationException) {
            currentCoroutineContext().ensureActive()
            // The scope of the request was cancelled because the caller went away, but this attempt continues.
            throw IncompleteBodyException("the caller went away", cancelled)
        }
        pending = null
        if (chunk == null) ended = true else length += chunk.length()
        if (length > limit) throw BodyTooLargeException()
        return chunk
    }
}
