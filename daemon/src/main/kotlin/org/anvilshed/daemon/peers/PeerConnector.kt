package org.anvilshed.daemon.peers

import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import org.anvilshed.core.MonotonicTime
import org.anvilshed.daemon.DaemonClock
import org.anvilshed.daemon.settings.SocketAddress
import org.anvilshed.wire.peer.DialResult
import org.anvilshed.wire.peer.Heartbeat
import org.anvilshed.wire.peer.PeerLink
import org.anvilshed.wire.peer.PeerTransport
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

internal val DIAL_TIMEOUT: Duration = 1.seconds
private val HEARTBEAT_PERIOD = 500.milliseconds
private val REDIAL_DELAY = 250.milliseconds

/** Silence of a peer after which the connection is given up: its packets may be dropped without any error. */
private val SILENCE_LIMIT = 6.seconds

/** Heartbeats without an acknowledgement whose sending times are kept. */
private const val REMEMBERED_HEARTBEATS = 64

/**
 * Keeps a link to the peer at [address] and sends it heartbeats. To be used by one thread.
 *
 * @param nextHeartbeat builds the heartbeat with the given sequence number.
 */
internal class PeerConnector(
    val address: SocketAddress,
    private val transport: PeerTransport,
    private val clock: DaemonClock,
    private val nextHeartbeat: (Long) -> Heartbeat,
    private val onConnected: (PeerLink) -> Unit,
) {
    private val wake = Channel<Unit>(Channel.CONFLATED)
    private val sentAt = LinkedHashMap<Long, MonotonicTime>()
    private var sequence = 0L
    private var lastAnswer = clock.now()

    /** Open link, or `null`. */
    @Volatile
    var link: PeerLink? = null
        private set

    suspend fun run() {
        while (true) {
            val result = transport.dial(address.host, address.port, DIAL_TIMEOUT)
            if (result is DialResult.Connected) {
                keep(result.link)
            } else {
                delay(REDIAL_DELAY)
            }
        }
    }

    /** Sends a heartbeat at once, because something in it has changed. */
    fun sendNow() {
        wake.trySend(Unit)
    }

    /** Records an acknowledgement; returns when its heartbeat was sent, or `null` if that is no longer known. */
    fun acknowledged(number: Long): MonotonicTime? {
        lastAnswer = clock.now()
        return sentAt.remove(number)
    }

    private suspend fun keep(connected: PeerLink) {
        link = connected
        sentAt.clear()
        lastAnswer = clock.now()
        onConnected(connected)
        try {
            while (connected.isOpen && clock.now() - lastAnswer < SILENCE_LIMIT) {
                val number = ++sequence
                sentAt[number] = clock.now()
                if (sentAt.size > REMEMBERED_HEARTBEATS) sentAt.remove(sentAt.keys.first())
                connected.sendControl(nextHeartbeat(number))
                withTimeoutOrNull(HEARTBEAT_PERIOD) { wake.receive() }
            }
        } finally {
            link = null
            connected.close()
        }
    }
}
