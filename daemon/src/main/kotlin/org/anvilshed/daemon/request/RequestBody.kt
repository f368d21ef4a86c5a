package org.anvilshed.daemon.request

import io.vertx.core.buffer.Buffer
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.async
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive

/** Length of the beginning of a body that is kept for further attempts. */
internal const val REPLAY_BYTES = 64 * 1024

/** The body is longer than the service allows. */
internal class BodyTooLargeException : Exception("the body is longer than the service allows")

/**
 * Body of a request. Its beginning, at most [REPLAY_BYTES] and one piece, is read before the request is dispatched, so
 * that a slow sender of a short body occupies no slot; an attempt that failed can be repeated while nothing beyond the
 * beginning was read. Used by one coroutine at a time.
 *
 * @param scope scope of the request, in which reads go on when an attempt is cancelled, so that no piece is lost.
 * @param limit largest length in bytes.
 */
internal class RequestBody(private val scope: CoroutineScope, private val limit: Long, private val source: BodySource) {
    private val beginning = ArrayList<Buffer>()
    private var length = 0L
    private var ended = false
    private var readBeyond = false
    private var pending: Deferred<Result<Buffer?>>? = null

    /** Whether the whole body can be sent once more. */
    val isReplayable: Boolean get() = !readBeyond

    /** Length of the body if all of it has been read, otherwise `null`. */
    val knownLength: Long? get() = length.takeIf { ended && !readBeyond }

    /**
     * Reads the beginning of the body.
     *
     * @throws BodyTooLargeException if it exceeds the limit.
     * @throws BodyBrokenException if the sender went away.
     */
    suspend fun readBeginning() {
        while (!ended && length < REPLAY_BYTES) pull()?.let { beginning += it }
    }

    /**
     * Passes the body to [write], from its start.
     *
     * @throws BodyTooLargeException if it exceeds the limit.
     * @throws BodyBrokenException if the sender went away.
     */
    suspend fun forEach(write: suspend (Buffer) -> Unit) {
        check(isReplayable) { "the body has been passed on already" }
        for (piece in beginning) write(piece)
        while (!ended) {
            readBeyond = true
            pull()?.let { write(it) }
        }
    }

    /** Ends a read that is still waiting; to be called when the request has ended. */
    fun close() {
        pending?.cancel()
    }

    private suspend fun pull(): Buffer? {
        val read = pending ?: scope.async(start = CoroutineStart.UNDISPATCHED) { runCatching { source.next() } }
        pending = read
        val piece = try {
            read.await().getOrThrow()
        } catch (cancelled: CancellationException) {
            currentCoroutineContext().ensureActive()
            // The request's scope ended with its caller, while this attempt goes on.
            throw BodyBrokenException("the caller went away", cancelled)
        }
        pending = null
        if (piece == null) ended = true else length += piece.length()
        if (length > limit) throw BodyTooLargeException()
        return piece
    }
}
