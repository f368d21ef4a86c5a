package org.anvilshed.gateway.peers

import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.datagram.DatagramSocket
import io.vertx.core.datagram.DatagramSocketOptions
import io.vertx.kotlin.coroutines.coAwait
import org.anvilshed.core.SocketAddress
import org.anvilshed.gateway.DecisionLog

/** Sends and receives announcements as datagrams. */
internal class AnnouncementSocket(
    vertx: Vertx,
    private val local: SocketAddress,
    private val log: DecisionLog,
    private val received: (Announcement) -> Unit,
) {
    private val socket: DatagramSocket = vertx.createDatagramSocket(DatagramSocketOptions().setReuseAddress(true))
    private var damaged = 0
    private var failures = 0

    suspend fun open() {
        socket.exceptionHandler { log.warning("peer-socket-error", "cause" to it) }
        socket.handler { packet ->
            val announcement = Announcement.decodeOrNull(packet.data().bytes)
            if (announcement != null) received(announcement) else reportDamaged(packet.sender().host())
        }
        socket.listen(local.port, local.host).coAwait()
    }

    fun send(datagram: ByteArray, host: String) {
        // A datagram that can't be sent is like one that is lost: the next one follows in a moment.
        socket.send(Buffer.buffer(datagram), local.port, host).onFailure { failure ->
            if (failures++ % REPORTED_FAILURES == 0) log.warning("peer-send-failed", "host" to host, "cause" to failure)
        }
    }

    private fun reportDamaged(host: String) {
        if (damaged++ % REPORTED_FAILURES == 0) log.warning("peer-datagram-damaged", "host" to host, "count" to damaged)
    }

    private companion object {
        /** Only each hundredth failure is logged, since an unreachable peer fails several times a second. */
        const val REPORTED_FAILURES = 100
    }
}
