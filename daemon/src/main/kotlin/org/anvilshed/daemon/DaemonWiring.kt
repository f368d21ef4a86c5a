package org.anvilshed.daemon

import io.github.oshai.kotlinlogging.KotlinLogging
import io.vertx.core.Vertx
import io.vertx.core.VertxOptions
import io.vertx.core.http.HttpClient
import io.vertx.core.http.HttpClientOptions
import io.vertx.core.http.PoolOptions
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.cancel
import org.anvilshed.core.Incarnation
import org.anvilshed.core.VmIdentity
import org.anvilshed.daemon.http.CallerServer
import org.anvilshed.daemon.http.OperationsServer
import org.anvilshed.daemon.metrics.DaemonMetrics
import org.anvilshed.daemon.settings.Settings
import org.anvilshed.daemon.steering.LocalVm
import org.anvilshed.http.withStrictResponses
import org.anvilshed.wire.peer.Hello
import org.anvilshed.wire.peer.PeerLink
import org.anvilshed.wire.peer.PeerLinkHandler
import org.anvilshed.wire.peer.PeerMessage
import org.anvilshed.wire.peer.PeerStream
import org.anvilshed.wire.peer.PeerTransport
import org.anvilshed.wire.peer.RequestStart
import org.anvilshed.wire.platform.VertxPlatformClient
import java.security.SecureRandom
import java.util.concurrent.Executors
import kotlin.random.asKotlinRandom

private val logger = KotlinLogging.logger {}

/** Number of event loops for requests; more than a few do not increase the throughput on entry VMs. */
private val REQUEST_LOOPS = (Runtime.getRuntime().availableProcessors() / 2).coerceIn(2, 8)

/** Period of the timer that serves the queues, because capacity can become free although no request ends. */
private const val QUEUE_TIMER_MS = 5L

/** Largest number of connections to one target. It is not reached, because owned slots limit the requests. */
private const val CONNECTIONS_PER_TARGET = 512
private const val CONNECT_TIMEOUT_MS = 1_000

/** Idle connections are kept for a long time, because a new connection costs a target about 1 ms of work. */
private const val KEEP_ALIVE_SECONDS = 300

/** Creates and connects all components of a daemon. */
internal class DaemonWiring(private val settings: Settings, private val clock: DaemonClock) : PeerLinkHandler {
    private val random = SecureRandom().asKotlinRandom()
    private val identity = VmIdentity(settings.vm.name, Incarnation(random.nextLong()))
    private val vertx = Vertx.vertx(VertxOptions().setEventLoopPoolSize(REQUEST_LOOPS))
    private val controlThread = Executors.newSingleThreadExecutor { Thread(it, "anvilshed-control") }
        .asCoroutineDispatcher()
    private val control = CoroutineScope(SupervisorJob() + controlThread)
    private val workers = CoroutineScope(SupervisorJob())
    private val callerServer = CallerServer(vertx)
    private val transport = PeerTransport(::hello, this)
    private val metrics = DaemonMetrics()
    private val platform = VertxPlatformClient(
        vertx,
        settings.platform.url,
        settings.vm.name.value,
        settings.platform.requestTimeout,
    ) { recordStrayBytes("platform", settings.platform.url, it) }
    private lateinit var local: LocalVm
    private lateinit var controlPlane: ControlPlane
    private lateinit var dataPlane: DataPlane

    /**
     * Opens all ports and starts all components.
     *
     * @throws java.io.IOException if an address cannot be used.
     */
    suspend fun start(): DaemonComponents {
        callerServer.prepare(REQUEST_LOOPS)
        val callerPort = callerServer.start(settings.listen.callers)
        val peerPort = transport.listen(settings.listen.peers.host, settings.listen.peers.port)
        local = LocalVm(
            identity = identity,
            zone = settings.vm.zone,
            region = settings.vm.region,
            callerUrl = settings.listen.advertiseCallers ?: "http://${settings.listen.callers.copy(port = callerPort)}",
            peerAddress = (settings.listen.advertisePeers ?: settings.listen.peers.copy(port = peerPort)).toString(),
        )
        val shared = SharedState(settings, clock, vertx, local, metrics)
        val client = targetClient()
        controlPlane = ControlPlane(shared, platform, transport, client, control, controlThread, random)
        dataPlane = DataPlane(shared, client, controlPlane.network, workers, callerServer.contexts)
        registerGauges(shared)
        val operations =
            OperationsServer(vertx, shared.metrics, controlPlane.status::report) { controlPlane.isReady }
        val ports = DaemonPorts(callerPort, peerPort, operations.start(settings.listen.operations))
        transport.startAccepting()
        controlPlane.start()
        vertx.setPeriodic(QUEUE_TIMER_MS) { shared.queues.serveAll() }
        callerServer.routes = dataPlane.routes
        return DaemonComponents(shared, ports, controlPlane) { close(operations) }
    }

    override fun onMessage(link: PeerLink, message: PeerMessage): Unit = controlPlane.messages.accept(link, message)

    override fun onRequest(link: PeerLink, stream: PeerStream, start: RequestStart): Unit =
        dataPlane.peerRequestHandler.accept(link, stream, start)

    override fun onClosed(link: PeerLink): Unit = Unit

    private fun hello() = Hello(local.identity, local.zone, local.region, local.callerUrl, local.peerAddress)

    private fun targetClient(): HttpClient = vertx.httpClientBuilder()
        .with(
            HttpClientOptions()
                .setTcpNoDelay(true)
                .setPipelining(false)
                .setConnectTimeout(CONNECT_TIMEOUT_MS)
                .setKeepAliveTimeout(KEEP_ALIVE_SECONDS),
        )
        .with(PoolOptions().setHttp1MaxSize(CONNECTIONS_PER_TARGET).setMaxWaitQueueSize(0))
        .withStrictResponses { address, bytes -> recordStrayBytes("target", address.toString(), bytes) }
        .build()

    private fun recordStrayBytes(server: String, address: String, bytes: String) {
        metrics.recordStrayBytes(server)
        logger.warn { "closed a connection to the $server at $address: it wrote bytes outside a response: $bytes" }
    }

    private fun registerGauges(shared: SharedState) {
        val metrics = shared.metrics
        metrics.gauge("anvilshed_bundle_version", "Version of the bundle in force.") {
            (shared.steering.current?.verified?.version ?: 0).toDouble()
        }
        metrics.gauge("anvilshed_requests_in_flight", "Requests that have begun and not ended.") {
            shared.drain.requestsInFlight.toDouble()
        }
        metrics.gauge("anvilshed_records", "Records of non-idempotent requests.") {
            shared.records.recordCount.toDouble()
        }
        metrics.gauge("anvilshed_queued_requests", "Requests that wait for a slot.") {
            shared.runtimes.all.sumOf { it.queue.size }.toDouble()
        }
    }

    private suspend fun close(operations: OperationsServer) {
        callerServer.stop()
        operations.stop()
        control.cancel()
        workers.cancel()
        transport.close()
        platform.close()
        vertx.close().coAwait()
        controlThread.close()
    }
}
