package org.anvilshed.standins

import io.netty.channel.socket.SocketChannelConfig
import io.vertx.core.Future
import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.internal.net.NetSocketInternal
import io.vertx.core.net.NetClient
import io.vertx.core.net.NetServer
import io.vertx.core.net.NetServerOptions
import io.vertx.core.net.NetSocket
import io.vertx.kotlin.coroutines.coAwait

private const val PROBE_INTERVAL_MS = 100L

/**
 * Listens on the relayed peer address of one entry VM. All other VMs dial this address, since a VM advertises only one
 * peer address. The dialing VM is identified by its name in the first bytes of the connection, which are the greeting
 * of design section 8.
 *
 * If the destination refuses a connection, the relay resets the connection that it accepted, and then refuses further
 * connections until the destination accepts them again. Not thread-safe: all methods must run on the same event loop.
 *
 * @param pairOf returns the pair of the dialing VM, whose name is found in the first bytes, and this VM.
 */
internal class RelayListener(
    private val vertx: Vertx,
    private val client: NetClient,
    private val link: RelaySpec,
    private val pairOf: (Buffer) -> RelayPair,
) {
    private var server: NetServer? = null

    /** Starts to accept connections. */
    suspend fun start() {
        listen().coAwait()
    }

    private fun listen(): Future<NetServer> {
        val (host, port) = splitAddress(link.listen)
        val started = vertx.createNetServer(NetServerOptions().setTcpNoDelay(true)).connectHandler(::accept)
        server = started
        return started.listen(port, host)
    }

    private fun accept(accepted: NetSocket) {
        accepted.exceptionHandler { }
        accepted.handler { first ->
            accepted.pause()
            val pair = pairOf(first)
            pair.whenNotPartitioned { connect(accepted, pair, first) }
        }
    }

    private fun connect(accepted: NetSocket, pair: RelayPair, first: Buffer) {
        val (host, port) = splitAddress(link.destination)
        client.connect(port, host).onComplete { result ->
            if (result.succeeded()) {
                pair.forward(accepted, result.result(), first)
            } else {
                reset(accepted)
                refuseConnections()
            }
        }
    }

    /** Closes [socket] with a TCP reset, since an orderly close would look like a graceful end of the destination. */
    private fun reset(socket: NetSocket) {
        val channel = (socket as NetSocketInternal).channelHandlerContext().channel()
        (channel.config() as SocketChannelConfig).setSoLinger(0)
        socket.close()
    }

    private fun refuseConnections() {
        val listening = server ?: return
        server = null
        listening.close().onComplete { probeDestination() }
    }

    private fun probeDestination() {
        val (host, port) = splitAddress(link.destination)
        client.connect(port, host).onComplete { result ->
            if (result.succeeded()) {
                result.result().close()
                listen()
            } else {
                vertx.setTimer(PROBE_INTERVAL_MS) { probeDestination() }
            }
        }
    }
}

/** Splits [address] (IP:port) into host and port. */
internal fun splitAddress(address: String): Pair<String, Int> =
    address.substringBeforeLast(':') to address.substringAfterLast(':').toInt()
