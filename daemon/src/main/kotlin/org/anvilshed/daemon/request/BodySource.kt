package org.anvilshed.daemon.request

import io.vertx.core.buffer.Buffer
import io.vertx.core.streams.ReadStream
import kotlinx.coroutines.channels.Channel

/** Thrown when the sender of a body closes its connection or stream before the end of the body. */
internal class IncompleteBodyException(message: String, cause: Throwable? = null) : Exception(message, cause)

/** Body that is read in chunks, at most one chunk ahead of the reader. */
internal fun interface BodySource {
    /**
     * Returns the next chunk, or `null` after the end of a complete body.
     *
     * @throws IncompleteBodyException if the body ended early.
     */
    suspend fun next(): Buffer?
}

/**
 * Body of a paused Vert.x [stream]. Must be created and used on the event loop of the stream.
 *
 * A received chunk is not lost when the coroutine that waits in [next] is cancelled; the next call returns it.
 */
internal class StreamBody(private val stream: ReadStream<Buffer>) : BodySource {
    private val chunks = ArrayDeque<Buffer>()
    private val changed = Channel<Unit>(Channel.CONFLATED)
    private var ended = false
    private var failure: Throwable? = null

    init {
        stream.exceptionHandler {
            failure = failure ?: it
            changed.trySend(Unit)
        }
        stream.handler {
            chunks.addLast(it)
            changed.trySend(Unit)
        }
        stream.endHandler {
            ended = true
            changed.trySend(Unit)
        }
    }

    override suspend fun next(): Buffer? {
        if (chunks.isEmpty() && !ended && failure == null) stream.fetch(1)
        while (true) {
            chunks.removeFirstOrNull()?.let { return it }
            if (ended) return null
            failure?.let { throw IncompleteBodyException(it.message ?: it.toString()) }
            changed.receive()
        }
    }

    /** Reads and drops the rest of the body. */
    fun discard(): Unit = discard { }

    /** Reads and drops the rest of the body, then calls [onEnd] once with whether the whole body was received. */
    fun discard(onEnd: (isComplete: Boolean) -> Unit) {
        if (ended || failure != null) {
            onEnd(failure == null)
            return
        }
        stream.exceptionHandler {
            if (failure == null && !ended) onEnd(false)
            failure = failure ?: it
        }
        stream.endHandler {
            ended = true
            if (failure == null) onEnd(true)
        }
        stream.handler { }
        stream.resume()
    }
}
