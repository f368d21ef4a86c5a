package org.anvilshed.gateway.peers

import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.datagram.DatagramSocket
import io.vertx.core.datagram.DatagramSocketOptions
import io.vertx.kotlin.coroutines.coAwait
import org.anvilshed.core.SocketAddress
import org.anvilshed.gateway.DecisionLog

/**
 * Sends and receives announcements as UDP datagrams; peers listen on the port of [local] too.
 *
 * @param local address to bind.
 * @param onReceived called with each announcement that could be decoded.
 */
internal class AnnouncementSocket(
    vertx: Vertx,
    private val local: SocketAddress,
    private val log: DecisionLog,
    private val onReceived: (Announcement) -> Unit,
) {
    private val socket: DatagramSocket = vertx.createDatagramSocket(DatagramSocketOptions().setReuseAddress(true))
    private var damagedDatagrams = 0
    private var sendFailures = 0

    /** Binds the socket and starts to receive. */
    suspend fun open() {
        socket.exceptionHandler { log.warning("peer-socket-error", "cause" to it) }
        socket.handler { packet ->
            val announcement = Announcement.decodeOrNull(packet.data().bytes)
            if (announcement != null) onReceived(announcement) else logDamaged(packet.sender().host())
        }
        socket.listen(local.port, local.host).coAwait()
    }

    /** Sends [datagram] to [host] without waiting. */
    fun send(datagram: ByteArray, host: String) {
        // Not retried: a failed send has the effect of packet loss, and the next announcement follows shortly.
        socket.send(Buffer.buffer(datagram), local.port, host).onFailure { failure ->
            if (sendFailures++ % LOG_INTERVAL == 0) log.warning("peer-send-failed", "host" to host, "cause" to failure)
        }
    }

    private fun logDamaged(host: String) {
        if (damagedDatagrams++ % LOG_INTERVAL == 0) {
            log.warning("peer-datagram-damaged", "host" to host, "count" to damagedDatagrams)
        }
    }

    private companion object {
        /** Only every hundredth failure is logged, since sends to an unreachable peer fail several times a second. */
        const val LOG_INTERVAL = 100
    }
}
