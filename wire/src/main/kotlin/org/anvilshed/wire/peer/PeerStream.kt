package org.anvilshed.wire.peer

import kotlinx.coroutines.Job
import kotlinx.coroutines.channels.Channel
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicLong

/** Number of body bytes that each side of a new stream may send before it receives a [Credit]. */
public const val INITIAL_WINDOW_BYTES: Long = 256L * 1024

/** Number of consumed bytes after which credit is granted; a grant per chunk would double the number of frames. */
private const val CREDIT_STEP_BYTES = INITIAL_WINDOW_BYTES / 4

/**
 * Stream of one request on a [PeerLink], used by one sending and one receiving coroutine on each side.
 *
 * Unread body bytes never exceed [INITIAL_WINDOW_BYTES], so that a slow reader delays only its own stream.
 */
public class PeerStream internal constructor(public val number: Long, private val link: PeerLink) {
    private val inbox = Channel<StreamMessage>(Channel.UNLIMITED)
    private val window = SendWindow(INITIAL_WINDOW_BYTES)
    private val unreadBytes = AtomicLong()
    private val closed = AtomicBoolean()
    private val endedJob = Job()
    private var consumedBytes = 0L

    /** Completes when the stream is closed, cancelled by the other side, or its link is broken. */
    public val ended: Job get() = endedJob

    /**
     * Sends [bytes] as body chunks, waiting for credit as needed.
     *
     * @return `false` if the stream is closed or its link is broken; some of the bytes may have been sent.
     */
    public suspend fun sendBody(bytes: ByteArray): Boolean {
        var offset = 0
        while (offset < bytes.size) {
            val count = window.take(minOf(bytes.size - offset, MAXIMUM_CHUNK_BYTES))
            if (count == 0) return false
            val part = if (count == bytes.size) bytes else bytes.copyOfRange(offset, offset + count)
            if (!send(BodyChunk(number, part))) return false
            offset += count
        }
        return true
    }

    /** Sends [message], which carries this stream's number; returns `false` if the stream or its link is closed. */
    public suspend fun send(message: StreamMessage): Boolean {
        require(message.stream == number) { "message of stream ${message.stream} sent on stream $number" }
        return !closed.get() && link.sendData(message)
    }

    /** Returns the next message of the other side, or `null` if the stream is closed or the link is broken. */
    public suspend fun receive(): StreamMessage? {
        val message = inbox.receiveCatching().getOrNull() ?: return null
        if (message is BodyChunk) recordConsumed(message.bytes.size)
        return message
    }

    /** Closes the stream after its last message was sent and received. Later messages are ignored. */
    public fun finish() {
        if (closed.compareAndSet(false, true)) {
            link.removeStream(this)
            terminate()
        }
    }

    /** Closes the stream before its last message and notifies the other side. */
    public fun cancel() {
        if (closed.compareAndSet(false, true)) {
            link.removeStream(this)
            link.sendCancel(number)
            terminate()
        }
    }

    internal fun grant(bytes: Long) {
        if (bytes <= 0) throw PeerProtocolException("credit of $bytes bytes on stream $number")
        window.grant(bytes)
    }

    /** Called only by the link's reader, which a single stream must not suspend. */
    internal fun deliver(message: StreamMessage) {
        if (message is BodyChunk && unreadBytes.addAndGet(message.bytes.size.toLong()) > INITIAL_WINDOW_BYTES) {
            throw PeerProtocolException("more body bytes were received on stream $number than its credit allows")
        }
        inbox.trySend(message)
        if (message is Cancel) endedJob.complete()
    }

    internal fun terminate() {
        endedJob.complete()
        window.close()
        inbox.close()
    }

    private fun recordConsumed(bytes: Int) {
        unreadBytes.addAndGet(-bytes.toLong())
        consumedBytes += bytes
        if (consumedBytes >= CREDIT_STEP_BYTES) {
            link.sendControl(Credit(number, consumedBytes))
            consumedBytes = 0
        }
    }
}
