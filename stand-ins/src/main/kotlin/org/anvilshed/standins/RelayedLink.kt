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

private const val PROBE_PERIOD_MS = 100L

/**
 * Relayed peer address of one entry VM. The dialing VM is recognized by its name in the first bytes, which are the
 * greeting of design section 8; all VMs dial the same address, since each VM tells only one to the others.
 *
 * While the destination refuses connections, so does the relay, after it has reset the connection that found out.
 * All methods run on one event loop.
 *
 * @param pairOf returns the pair of the dialing VM, which is found in the bytes, and this one.
 */
internal class RelayedLink(
    private val vertx: Vertx,
    private val client: NetClient,
    private val link: RelayLink,
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
            pair.whenOpen { connect(accepted, pair, first) }
        }
    }

    private fun connect(accepted: NetSocket, pair: RelayPair, first: Buffer) {
        val (host, port) = splitAddress(link.destination)
        client.connect(port, host).onComplete { result ->
            if (result.succeeded()) {
                pair.join(accepted, result.result(), first)
            } else {
                reset(accepted)
                refuse()
            }
        }
    }

    /** Closes with a TCP reset, since a refusing destination must not look like one that ended in good order. */
    private fun reset(socket: NetSocket) {
        val channel = (socket as NetSocketInternal).channelHandlerContext().channel()
        (channel.config() as SocketChannelConfig).setSoLinger(0)
        socket.close()
    }

    private fun refuse() {
        val listening = server ?: return
        server = null
        listening.close().onComplete { probe() }
    }

    private fun probe() {
        val (host, port) = splitAddress(link.destination)
        client.connect(port, host).onComplete { result ->
            if (result.succeeded()) {
                result.result().close()
                listen()
            } else {
                vertx.setTimer(PROBE_PERIOD_MS) { probe() }
            }
        }
    }
}

/** Splits an address IP:port. */
internal fun splitAddress(address: String): Pair<String, Int> =
    address.substringBeforeLast(':') to address.substringAfterLast(':').toInt()
