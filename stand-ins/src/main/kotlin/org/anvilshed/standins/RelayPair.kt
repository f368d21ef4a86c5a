package org.anvilshed.standins

import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.net.NetSocket

private const val MAXIMUM_QUEUED_BYTES = 256 * 1024
private const val NANOSECONDS_PER_MS = 1_000_000L
private const val NANOSECONDS_PER_SECOND = 1_000_000_000L

/**
 * Simulated network between a dialing VM and a dialed VM, with the connections between them. Not thread-safe: all
 * methods must run on the same event loop.
 *
 * @param name names of both VMs as `source>destination`.
 */
internal class RelayPair(private val vertx: Vertx, private val name: String) {
    private var delayMs = 0L
    private var bytesPerSecond = 0L
    private var bytes = 0L
    private val directions = HashSet<Direction>()
    private val waitingActions = ArrayList<() -> Unit>()

    /** Whether no bytes are forwarded at present. */
    var isPartitioned: Boolean = false
        private set

    /** Applies [change]; then, unless the network is partitioned, continues what waited for the end of a partition. */
    fun change(change: RelayControl) {
        delayMs = change.delayMs ?: delayMs
        bytesPerSecond = change.bytesPerSecond ?: bytesPerSecond
        isPartitioned = change.partitioned ?: isPartitioned
        if (!isPartitioned) {
            directions.toList().forEach { it.writeDueChunks() }
            waitingActions.toList().also { waitingActions.clear() }.forEach { it() }
        }
    }

    /** Returns the present counters. */
    fun counters(): RelayCounters = RelayCounters(name, directions.size / 2 + waitingActions.size, bytes, isPartitioned)

    /** Runs [action] now, or when the present partition ends. */
    fun whenNotPartitioned(action: () -> Unit) {
        if (isPartitioned) waitingActions += action else action()
    }

    /** Forwards [first] and all further bytes from [accepted] to [opened], and all bytes in the other direction. */
    fun forward(accepted: NetSocket, opened: NetSocket, first: Buffer) {
        val forwardDirection = Direction(accepted, opened)
        directions += forwardDirection
        forwardDirection.start()
        forwardDirection.enqueue(first)
        val backwardDirection = Direction(opened, accepted)
        directions += backwardDirection
        backwardDirection.start()
    }

    /** Forwards bytes from [source] to [sink], each chunk when it is due after delay and transfer time. */
    private inner class Direction(private val source: NetSocket, private val sink: NetSocket) {
        private val queue = ArrayDeque<Pair<Long, Buffer>>()
        private var queuedBytes = 0
        private var lastDue = 0L
        private var sourceClosed = false
        private var timer: Long? = null

        fun start() {
            source.handler(::enqueue)
            source.closeHandler {
                sourceClosed = true
                writeDueChunks()
            }
            source.exceptionHandler { }
            sink.drainHandler { writeDueChunks() }
            source.resume()
        }

        fun enqueue(chunk: Buffer) {
            val now = System.nanoTime()
            val transfer = if (bytesPerSecond > 0) chunk.length() * NANOSECONDS_PER_SECOND / bytesPerSecond else 0
            lastDue = maxOf(now + delayMs * NANOSECONDS_PER_MS, lastDue + transfer)
            queue.addLast(lastDue to chunk)
            queuedBytes += chunk.length()
            bytes += chunk.length()
            if (queuedBytes > MAXIMUM_QUEUED_BYTES) source.pause()
            writeDueChunks()
        }

        fun writeDueChunks() {
            if (isPartitioned) return
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
            if (queuedBytes <= MAXIMUM_QUEUED_BYTES) source.resume()
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
                writeDueChunks()
            }
        }
    }
}
