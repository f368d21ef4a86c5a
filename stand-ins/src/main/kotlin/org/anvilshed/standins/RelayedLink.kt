package org.anvilshed.standins

import io.netty.channel.socket.SocketChannelConfig
import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.internal.net.NetSocketInternal
import io.vertx.core.net.NetClient
import io.vertx.core.net.NetServerOptions
import io.vertx.core.net.NetSocket
import io.vertx.kotlin.coroutines.coAwait

private const val QUEUE_BYTES = 256 * 1024
private const val NANOSECONDS_PER_MS = 1_000_000L
private const val NANOSECONDS_PER_SECOND = 1_000_000_000L

/** One relayed address with its connections. All methods run on one event loop. */
internal class RelayedLink(private val vertx: Vertx, private val client: NetClient, private val link: RelayLink) {
    private var delayMs = 0L
    private var bytesPerSecond = 0L
    private var cut = false
    private var bytes = 0L
    private val directions = HashSet<Direction>()
    private val waiting = ArrayList<NetSocket>()

    /** Starts to accept connections. */
    suspend fun start() {
        val (host, port) = splitAddress(link.listen)
        vertx.createNetServer(NetServerOptions().setTcpNoDelay(true)).connectHandler { accepted ->
            if (cut) {
                accepted.pause()
                waiting += accepted
                accepted.closeHandler { waiting -= accepted }
            } else {
                connect(accepted)
            }
        }.listen(port, host).coAwait()
    }

    /** Applies [change]. */
    fun change(change: RelayControl) {
        delayMs = change.delayMs ?: delayMs
        bytesPerSecond = change.bytesPerSecond ?: bytesPerSecond
        cut = change.cut ?: cut
        if (!cut) {
            directions.toList().forEach { it.drain() }
            val accepted = waiting.toList()
            waiting.clear()
            accepted.forEach { connect(it) }
        }
    }

    /** Returns the counters as they are now. */
    fun counters(): RelayCounters = RelayCounters(link.name, directions.size / 2 + waiting.size, bytes, cut)

    private fun connect(accepted: NetSocket) {
        accepted.pause()
        val (host, port) = splitAddress(link.destination)
        client.connect(port, host).onComplete { result ->
            if (result.succeeded()) join(accepted, result.result()) else reset(accepted)
        }
    }

    /** Closes with a TCP reset, since a refusing destination must not look like one that ended in good order. */
    private fun reset(socket: NetSocket) {
        val channel = (socket as NetSocketInternal).channelHandlerContext().channel()
        (channel.config() as SocketChannelConfig).setSoLinger(0)
        socket.close()
    }

    private fun join(accepted: NetSocket, opened: NetSocket) {
        val forth = Direction(accepted, opened)
        val back = Direction(opened, accepted)
        directions += forth
        directions += back
        forth.start()
        back.start()
    }

    /** Bytes from [source] to [sink], each chunk with the time at which it is due. */
    private inner class Direction(private val source: NetSocket, private val sink: NetSocket) {
        private val queue = ArrayDeque<Pair<Long, Buffer>>()
        private var queuedBytes = 0
        private var lastDue = 0L
        private var sourceClosed = false
        private var timer: Long? = null

        fun start() {
            source.handler(::take)
            source.closeHandler {
                sourceClosed = true
                drain()
            }
            source.exceptionHandler { }
            sink.drainHandler { drain() }
            source.resume()
        }

        private fun take(chunk: Buffer) {
            val now = System.nanoTime()
            val transfer = if (bytesPerSecond > 0) chunk.length() * NANOSECONDS_PER_SECOND / bytesPerSecond else 0
            lastDue = maxOf(now + delayMs * NANOSECONDS_PER_MS, lastDue + transfer)
            queue.addLast(lastDue to chunk)
            queuedBytes += chunk.length()
            bytes += chunk.length()
            drain()
            if (queuedBytes > QUEUE_BYTES) source.pause()
        }

        fun drain() {
            if (cut) return
            while (!sink.writeQueueFull()) {
                val (due, chunk) = queue.firstOrNull() ?: break
                val wait = due - System.nanoTime()
                if (wait > 0) {
                    schedule(wait)
                    return
                }
                queue.removeFirst()
                queuedBytes -= chunk.length()
                sink.write(chunk)
            }
            if (queuedBytes <= QUEUE_BYTES) source.resume()
            if (sourceClosed && queue.isEmpty()) {
                directions -= this
                sink.close()
            }
        }

        private fun schedule(nanoseconds: Long) {
            if (timer != null) return
            val milliseconds = (nanoseconds + NANOSECONDS_PER_MS - 1) / NANOSECONDS_PER_MS
            timer = vertx.setTimer(milliseconds) {
                timer = null
                drain()
            }
        }
    }
}

/** Splits an address IP:port. */
internal fun splitAddress(address: String): Pair<String, Int> =
    address.substringBeforeLast(':') to address.substringAfterLast(':').toInt()
