package org.anvilshed.wire.peer

import kotlinx.coroutines.channels.Channel
import java.util.concurrent.atomic.AtomicLong

/** Number of body bytes that a side of a stream may send. One coroutine takes bytes; the link's reader grants them. */
internal class SendWindow(initialBytes: Long) {
    private val available = AtomicLong(initialBytes)
    private val changed = Channel<Unit>(Channel.CONFLATED)

    /**
     * Suspends until there is credit, then takes up to [wanted] bytes of it.
     *
     * @return number of bytes that may be sent, at least 1, or 0 if the window is closed.
     */
    suspend fun take(wanted: Int): Int {
        while (true) {
            val now = available.get()
            if (now > 0) {
                val taken = minOf(now, wanted.toLong())
                available.addAndGet(-taken)
                return taken.toInt()
            }
            if (changed.receiveCatching().isFailure) return 0
        }
    }

    fun grant(bytes: Long) {
        available.addAndGet(bytes)
        changed.trySend(Unit)
    }

    fun close() {
        changed.close()
    }
}
