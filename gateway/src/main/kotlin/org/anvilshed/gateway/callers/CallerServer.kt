package org.anvilshed.gateway.callers

import io.netty.channel.AdaptiveRecvByteBufAllocator
import io.netty.handler.codec.http.HttpResponseEncoder
import io.vertx.core.Vertx
import io.vertx.core.internal.net.NetSocketInternal
import io.vertx.core.net.NetServer
import io.vertx.core.net.NetServerOptions
import io.vertx.core.net.NetSocket
import io.vertx.kotlin.coroutines.coAwait
import org.anvilshed.core.MonotonicTime
import org.anvilshed.core.SocketAddress
import org.anvilshed.core.ingress.CallerLimits
import org.anvilshed.gateway.MemoryBudget
import org.anvilshed.gateway.MonotonicClock

/**
 * Port for the requests of callers, with the connections that are open on it. Confined to the event loop.
 *
 * @param limits limits of the config in force, or `null` before the first config; requests then have no bodies.
 * @param isLeaving whether this VM is shutting down.
 * @param serve called for each request, in the event loop iteration in which its head was read.
 * @param onFault called with each unexpected exception while a request is read; its connection is reset.
 */
internal class CallerServer(
    vertx: Vertx,
    private val clock: MonotonicClock,
    private val limits: () -> CallerLimits?,
    private val isLeaving: () -> Boolean,
    private val serve: (CallerRequest) -> Unit,
    private val onFault: (Throwable) -> Unit,
) {
    private val bodyMemory = MemoryBudget(BODY_MEMORY_BYTES)
    private val connections = HashSet<CallerConnection>()
    private val server: NetServer =
        vertx.createNetServer(NetServerOptions().setTcpNoDelay(true).setAcceptBacklog(ACCEPT_BACKLOG))

    /** Whether requests are accepted; those that arrive later must be refused. */
    var isAccepting = true
        private set

    /** Number of open connections. */
    val connectionCount: Int
        get() = connections.size

    /** Whether a request has no complete response yet. */
    val isBusy: Boolean
        get() = connections.any { it.isBusy }

    /**
     * Opens the port on [address]; returns the port's number.
     *
     * @throws java.io.IOException if the address can't be bound.
     */
    suspend fun listen(address: SocketAddress): Int =
        server.connectHandler(::accept).listen(address.port, address.host).coAwait().actualPort()

    /** Closes connections that were idle, or had an incomplete request head, for longer than the limits allow. */
    fun closeStalled(now: MonotonicTime) {
        val limits = limits() ?: return
        connections.toList().forEach { it.closeIfStalled(limits, now) }
    }

    /**
     * Ends the service of callers: connections without a request in progress are closed, and so are new ones before
     * they are read. The others close after the responses to the requests that were read before.
     */
    fun stopAccepting() {
        isAccepting = false
        connections.toList().forEach { it.closeIfIdle() }
    }

    /** Closes the port and all connections. */
    suspend fun close() {
        server.close().coAwait()
    }

    private fun accept(socket: NetSocket) {
        if (!isAccepting) {
            socket.close()
            return
        }
        val internal = socket as NetSocketInternal
        val decoder = CallerRequestDecoder(clock)
        val connection = CallerConnection(
            socket = internal,
            decoder = decoder,
            clock = clock,
            bodyMemory = bodyMemory,
            maximumBodyBytes = { limits()?.maximumBodyBytes ?: 0L },
            isLeaving = isLeaving,
            serve = serve,
            onFault = onFault,
        )
        connections.add(connection)
        internal.messageHandler { connection.receive(it) }
        internal.closeHandler {
            connections.remove(connection)
            connection.closed()
        }
        // A failed connection is closed as well.
        internal.exceptionHandler { }
        val channel = internal.channelHandlerContext().channel()
        channel.pipeline().addBefore(SOCKET_HANDLER, "http-decoder", decoder)
        channel.pipeline().addBefore(SOCKET_HANDLER, "http-encoder", HttpResponseEncoder())
        // Reads until the socket is empty, so that a close that follows a request is noticed in the same iteration of
        // the event loop, before the request is forwarded. By default it is noticed an iteration later, which can take
        // long on a busy VM.
        channel.config().setRecvByteBufAllocator(
            AdaptiveRecvByteBufAllocator().respectMaybeMoreData(false).maxMessagesPerRead(READS_PER_ITERATION),
        )
    }

    private companion object {
        /** Name of the last handler of a socket's pipeline in Vert.x. */
        const val SOCKET_HANDLER = "handler"
        const val ACCEPT_BACKLOG = 1024

        /** Bounds how long one connection can delay the others; the default of Netty. */
        const val READS_PER_ITERATION = 16

        /** A sixth of the heap in `deploy/system.toml`. */
        const val BODY_MEMORY_BYTES = 32L * 1024 * 1024
    }
}
