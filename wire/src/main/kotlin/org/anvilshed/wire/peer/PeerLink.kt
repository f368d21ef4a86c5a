package org.anvilshed.wire.peer

import io.ktor.network.sockets.Socket
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.channels.ClosedSendChannelException
import kotlinx.coroutines.launch
import kotlinx.coroutines.selects.select
import java.io.IOException
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicLong

/** Maximum number of body and request messages that wait for the socket; 16 chunks of 64 KiB are 1 MiB per link. */
private const val DATA_QUEUE_MESSAGES = 16

/** Receives the events of a link. The link reads no further message until a call returns, so calls must not block. */
public interface PeerLinkHandler {
    /** Called for a [message] that belongs to no stream. */
    public fun onMessage(link: PeerLink, message: PeerMessage)

    /** Called when the other side has opened [stream] with the message [start]. */
    public fun onRequest(link: PeerLink, stream: PeerStream, start: RequestStart)

    /** Called when the link is closed and its streams have ended. */
    public fun onClosed(link: PeerLink)
}

/**
 * One established connection to a peer, which carries many requests and heartbeats.
 *
 * Only the dialing side opens streams. Heartbeats, credit and bundles are sent before requests and bodies that wait for
 * the socket.
 *
 * @property remote greeting of the other side.
 * @property dialed whether this side has established the connection.
 */
public class PeerLink internal constructor(
    public val remote: Hello,
    public val dialed: Boolean,
    private val connection: PeerConnection,
    private val handler: PeerLinkHandler,
) {
    private val control = Channel<PeerMessage>(Channel.UNLIMITED)
    private val data = Channel<PeerMessage>(DATA_QUEUE_MESSAGES)
    private val streams = ConcurrentHashMap<Long, PeerStream>()
    private val lastStream = AtomicLong()
    private val closed = AtomicBoolean()
    private lateinit var writer: Job

    /** Whether the link is established, as far as this side knows. */
    public val isOpen: Boolean get() = !closed.get()

    /** Number of streams that have not ended. */
    public val openStreams: Int get() = streams.size

    /** Queues a message that belongs to no stream, or credit; returns `false` if the link is closed. */
    public fun sendControl(message: PeerMessage): Boolean = control.trySend(message).isSuccess

    /**
     * Opens a stream and sends the message that [start] builds for its number.
     *
     * @return the stream, or `null` if the link was closed before the message was queued; nothing was sent then.
     */
    public suspend fun openStream(start: (Long) -> RequestStart): PeerStream? {
        check(dialed) { "only the dialing side opens streams" }
        val stream = PeerStream(lastStream.incrementAndGet(), this)
        streams[stream.number] = stream
        if (!sendData(start(stream.number))) {
            streams.remove(stream.number)
            return null
        }
        if (closed.get()) stream.terminate()
        return stream
    }

    /** Closes the connection and ends all streams. */
    public fun close() {
        if (!closed.compareAndSet(false, true)) return
        control.close()
        data.close()
        writer.cancel()
        connection.socket.close()
        streams.values.forEach(PeerStream::terminate)
        streams.clear()
        handler.onClosed(this)
    }

    internal fun start(scope: CoroutineScope) {
        writer = scope.launch { runAndClose { writeMessages() } }
        scope.launch { runAndClose { readMessages() } }
    }

    internal suspend fun sendData(message: PeerMessage): Boolean = try {
        data.send(message)
        true
    } catch (_: ClosedSendChannelException) {
        false
    }

    /** Queues a cancellation behind the stream's other messages, which it must not overtake. */
    internal fun sendCancel(number: Long) {
        val cancel = Cancel(number)
        if (!data.trySend(cancel).isSuccess && isOpen) connection.scope.launch { sendData(cancel) }
    }

    internal fun removeStream(stream: PeerStream) {
        streams.remove(stream.number, stream)
    }

    private suspend fun runAndClose(block: suspend () -> Unit) {
        try {
            block()
        } catch (cancelled: CancellationException) {
            throw cancelled
        } catch (_: IOException) {
            // The connection ended; close() ends the streams.
        } catch (_: PeerProtocolException) {
            // The other side violated the protocol; the connection can no longer be used.
        } finally {
            close()
        }
    }

    private suspend fun writeMessages() {
        val output = connection.output
        while (true) {
            val ready = control.tryReceive().getOrNull() ?: data.tryReceive().getOrNull()
            if (ready == null) output.flush()
            val message = ready ?: nextMessage() ?: return
            output.writeMessage(message)
        }
    }

    private suspend fun nextMessage(): PeerMessage? = select {
        control.onReceiveCatching { it.getOrNull() }
        data.onReceiveCatching { it.getOrNull() }
    }

    private suspend fun readMessages() {
        while (true) {
            when (val message = connection.input.readMessage()) {
                is RequestStart -> accept(message)
                is Credit -> streams[message.stream]?.grant(message.bytes)
                is StreamMessage -> streams[message.stream]?.deliver(message)
                else -> handler.onMessage(this, message)
            }
        }
    }

    private fun accept(start: RequestStart) {
        if (dialed) throw PeerProtocolException("the accepting side opened stream ${start.stream}")
        val stream = PeerStream(start.stream, this)
        if (streams.putIfAbsent(start.stream, stream) != null) {
            throw PeerProtocolException("stream ${start.stream} was opened twice")
        }
        handler.onRequest(this, stream, start)
    }
}

/** Socket of a link with its channels and the [scope] in which its coroutines run. */
internal class PeerConnection(
    val socket: Socket,
    val input: ByteReadChannel,
    val output: ByteWriteChannel,
    val scope: CoroutineScope,
)
