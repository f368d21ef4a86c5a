package org.anvilshed.daemon.request

import io.vertx.core.buffer.Buffer
import io.vertx.core.streams.ReadStream
import kotlinx.coroutines.channels.Channel

/** The sender of a body went away before the body's end. */
internal class BodyBrokenException(message: String, cause: Throwable? = null) : Exception(message, cause)

/** Body that is read piece by piece; nothing is read ahead beyond one piece. */
internal fun interface BodySource {
    /**
     * Returns the next piece, or `null` after the end of the complete body.
     *
     * @throws BodyBrokenException if the body ended early.
     */
    suspend fun next(): Buffer?
}

/**
 * Body of a paused Vert.x [stream]. To be created and used on the stream's event loop.
 *
 * A piece that was received stays available when the waiting coroutine is cancelled.
 */
internal class StreamBody(private val stream: ReadStream<Buffer>) : BodySource {
    private val pieces = ArrayDeque<Buffer>()
    private val changed = Channel<Unit>(Channel.CONFLATED)
    private var ended = false
    private var failure: Throwable? = null

    init {
        stream.exceptionHandler {
            failure = failure ?: it
            changed.trySend(Unit)
        }
        stream.handler {
            pieces.addLast(it)
            changed.trySend(Unit)
        }
        stream.endHandler {
            ended = true
            changed.trySend(Unit)
        }
    }

    override suspend fun next(): Buffer? {
        if (pieces.isEmpty() && !ended && failure == null) stream.fetch(1)
        while (true) {
            pieces.removeFirstOrNull()?.let { return it }
            if (ended) return null
            failure?.let { throw BodyBrokenException(it.message ?: it.toString()) }
            changed.receive()
        }
    }

    /** Drops the rest of the body. */
    fun discard(): Unit = discard { }

    /** Drops the rest of the body and reports once whether it was complete. */
    fun discard(onEnd: (isWhole: Boolean) -> Unit) {
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
