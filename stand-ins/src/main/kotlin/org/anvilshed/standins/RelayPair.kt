package org.anvilshed.standins

import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.net.NetSocket

private const val QUEUE_BYTES = 256 * 1024
private const val NANOSECONDS_PER_MS = 1_000_000L
private const val NANOSECONDS_PER_SECOND = 1_000_000_000L

/** Network between a dialing VM and a dialed one, with their connections. All methods run on one event loop. */
internal class RelayPair(private val vertx: Vertx, private val name: String) {
    private var delayMs = 0L
    private var bytesPerSecond = 0L
    private var bytes = 0L
    private val directions = HashSet<Direction>()
    private val waiting = ArrayList<() -> Unit>()

    /** Whether no bytes pass. */
    var isCut: Boolean = false
        private set

    /** Applies [change]. */
    fun change(change: RelayControl) {
        delayMs = change.delayMs ?: delayMs
        bytesPerSecond = change.bytesPerSecond ?: bytesPerSecond
        isCut = change.cut ?: isCut
        if (!isCut) {
            directions.toList().forEach { it.drain() }
            waiting.toList().also { waiting.clear() }.forEach { it() }
        }
    }

    /** Returns the counters as they are now. */
    fun counters(): RelayCounters = RelayCounters(name, directions.size / 2 + waiting.size, bytes, isCut)

    /** Runs [action] now, or when the cut is healed. */
    fun whenOpen(action: () -> Unit) {
        if (isCut) waiting += action else action()
    }

    /** Carries [first] and all further bytes from [accepted] to [opened], and back. */
    fun join(accepted: NetSocket, opened: NetSocket, first: Buffer) {
        val forth = Direction(accepted, opened)
        directions += forth
        forth.start()
        forth.take(first)
        val back = Direction(opened, accepted)
        directions += back
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

        fun take(chunk: Buffer) {
            val now = System.nanoTime()
            val transfer = if (bytesPerSecond > 0) chunk.length() * NANOSECONDS_PER_SECOND / bytesPerSecond else 0
            lastDue = maxOf(now + delayMs * NANOSECONDS_PER_MS, lastDue + transfer)
            queue.addLast(lastDue to chunk)
            queuedBytes += chunk.length()
            bytes += chunk.length()
            if (queuedBytes > QUEUE_BYTES) source.pause()
            drain()
        }

        fun drain() {
            if (isCut) return
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
