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

/** Longest time for connecting to a peer. */
internal val DIAL_TIMEOUT: Duration = 1.seconds
private val HEARTBEAT_PERIOD = 500.milliseconds
private val REDIAL_DELAY = 250.milliseconds

/** Time without an answer after which the connection is closed: a network may drop packets without any error. */
private val SILENCE_LIMIT = 6.seconds

/** Largest number of heartbeats without an acknowledgement whose sending times are kept. */
private const val MAXIMUM_PENDING_HEARTBEATS = 64

/**
 * Maintains a link to the peer at [address] and sends heartbeats over the link. Used by one thread.
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

    /** Open link to the peer, or `null`. May be read by any thread. */
    @Volatile
    var link: PeerLink? = null
        private set

    /** Connects and reconnects to the peer until the coroutine is cancelled. */
    suspend fun run() {
        while (true) {
            val result = transport.dial(address.host, address.port, DIAL_TIMEOUT)
            if (result is DialResult.Connected) {
                maintain(result.link)
            } else {
                delay(REDIAL_DELAY)
            }
        }
    }

    /** Sends a heartbeat at once, because its contents have changed. */
    fun sendNow() {
        wake.trySend(Unit)
    }

    /** Records the acknowledgement of heartbeat [number]; returns when it was sent, or `null` if that is not known. */
    fun recordAcknowledgement(number: Long): MonotonicTime? {
        lastAnswer = clock.now()
        return sentAt.remove(number)
    }

    private suspend fun maintain(connected: PeerLink) {
        link = connected
        sentAt.clear()
        lastAnswer = clock.now()
        onConnected(connected)
        try {
            while (connected.isOpen && clock.now() - lastAnswer < SILENCE_LIMIT) {
                val number = ++sequence
                sentAt[number] = clock.now()
                if (sentAt.size > MAXIMUM_PENDING_HEARTBEATS) sentAt.remove(sentAt.keys.first())
                connected.sendControl(nextHeartbeat(number))
                withTimeoutOrNull(HEARTBEAT_PERIOD) { wake.receive() }
            }
        } finally {
            link = null
            connected.close()
        }
    }
}
