package org.anvilshed.wire.peer

import io.github.oshai.kotlinlogging.KotlinLogging
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.TimeoutCancellationException
import kotlinx.coroutines.cancel
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeout
import java.io.IOException
import java.net.ConnectException
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

private val logger = KotlinLogging.logger {}

/** Maximum time in which both greetings are exchanged after the connection is established. */
private val HANDSHAKE_TIMEOUT: Duration = 2.seconds

/** Result of an attempt to reach a peer; see [PeerTransport.dial]. */
public sealed interface DialResult {
    /** The link is established. */
    public data class Connected(public val link: PeerLink) : DialResult

    /** The peer's host refused the connection: no process listens at the address, so no daemon runs there. */
    public data object Refused : DialResult

    /** The attempt failed for a reason that does not show whether the process runs. */
    public data class Failed(public val cause: String) : DialResult
}

/** Accepts connections from peers and connects to peers; all links share one selector thread. */
public class PeerTransport(private val local: () -> Hello, private val handler: PeerLinkHandler) : AutoCloseable {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.IO)
    private val selector = SelectorManager(Dispatchers.IO)
    private var server: ServerSocket? = null

    /**
     * Binds a listening socket to [host] and [port] (0: a port that the system chooses). Peers are accepted only after
     * [startAccepting].
     *
     * @return the bound port.
     * @throws IOException if the address cannot be used.
     */
    public suspend fun listen(host: String, port: Int): Int {
        val socket = aSocket(selector).tcp().bind(host, port) { reuseAddress = true }
        server = socket
        return (socket.localAddress as InetSocketAddress).port
    }

    /** Starts to accept connections from peers on the address given to [listen]. */
    public fun startAccepting() {
        val socket = checkNotNull(server) { "not listening" }
        scope.launch { acceptLinks(socket) }
    }

    /** Connects to the peer at [host] and [port] and exchanges greetings within [timeout]. */
    public suspend fun dial(host: String, port: Int, timeout: Duration): DialResult = try {
        withTimeout(timeout) {
            val socket = aSocket(selector).tcp().connect(InetSocketAddress(host, port)) { noDelay = true }
            DialResult.Connected(establish(socket, dialed = true))
        }
    } catch (_: ConnectException) {
        DialResult.Refused
    } catch (fault: IOException) {
        DialResult.Failed(fault.message ?: fault.toString())
    } catch (fault: PeerProtocolException) {
        DialResult.Failed(fault.message ?: fault.toString())
    } catch (_: TimeoutCancellationException) {
        DialResult.Failed("no answer within $timeout")
    }

    override fun close() {
        server?.close()
        scope.cancel()
        selector.close()
    }

    private suspend fun acceptLinks(server: ServerSocket) {
        while (true) {
            val socket = try {
                server.accept()
            } catch (fault: IOException) {
                logger.warn { "accepting peers failed, no further connections of peers are accepted: ${fault.message}" }
                return
            }
            scope.launch { acceptLink(socket) }
        }
    }

    private suspend fun acceptLink(socket: Socket) {
        try {
            withTimeout(HANDSHAKE_TIMEOUT) { establish(socket, dialed = false) }
        } catch (_: TimeoutCancellationException) {
            logger.debug { "closed a connection: the peer sent no greeting within $HANDSHAKE_TIMEOUT" }
        } catch (fault: IOException) {
            logger.debug { "closed a connection: it failed before the peer's greeting: ${fault.message}" }
        } catch (fault: PeerProtocolException) {
            logger.warn { "rejected a peer and closed its connection: ${fault.message}" }
        }
    }

    private suspend fun establish(socket: Socket, dialed: Boolean): PeerLink {
        var link: PeerLink? = null
        try {
            val input = socket.openReadChannel()
            val output = socket.openWriteChannel(autoFlush = false)
            output.writeMessage(local())
            output.flush()
            val remote = input.readMessage()
            if (remote !is Hello || remote.protocolVersion != PROTOCOL_VERSION) {
                throw PeerProtocolException("expected a greeting of version $PROTOCOL_VERSION, got $remote")
            }
            return PeerLink(remote, dialed, PeerConnection(socket, input, output, scope), handler).also {
                it.start(scope)
                link = it
            }
        } finally {
            if (link == null) socket.close()
        }
    }
}
