package org.anvilshed.daemon

import io.vertx.core.http.HttpClient
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import org.anvilshed.core.bundle.BundleVerifier
import org.anvilshed.core.bundle.VerifiedBundle
import org.anvilshed.daemon.control.BundleKeeper
import org.anvilshed.daemon.control.HealthMonitor
import org.anvilshed.daemon.control.HeartbeatSource
import org.anvilshed.daemon.control.Housekeeping
import org.anvilshed.daemon.control.PeerMessageParts
import org.anvilshed.daemon.control.PeerMessages
import org.anvilshed.daemon.control.PlatformWatch
import org.anvilshed.daemon.control.StatusSource
import org.anvilshed.daemon.control.StatusWriter
import org.anvilshed.daemon.control.SteeringControl
import org.anvilshed.daemon.control.SteeringParts
import org.anvilshed.daemon.control.VmListPoll
import org.anvilshed.daemon.peers.PeerDirectory
import org.anvilshed.daemon.peers.PeerNetwork
import org.anvilshed.daemon.seats.SeatAccess
import org.anvilshed.daemon.seats.SeatControl
import org.anvilshed.wire.peer.PeerTransport
import org.anvilshed.wire.platform.PlatformClient
import kotlin.random.Random
import kotlin.time.Duration

/**
 * Wiring of everything that decides how requests are steered. All of it runs on one thread.
 *
 * @param scope scope of the control thread.
 * @param thread dispatcher of the control thread.
 */
internal class ControlPlane(
    private val shared: SharedState,
    private val platform: PlatformClient,
    private val transport: PeerTransport,
    probeClient: HttpClient,
    private val scope: CoroutineScope,
    private val thread: CoroutineDispatcher,
    random: Random,
) {
    private val local = shared.local
    private val clock = shared.clock
    private val directory = PeerDirectory(local)
    private val verifier = BundleVerifier(shared.settings.operators, shared.settings.revokedKeys)
    private val bundles = BundleKeeper(verifier, shared.metrics, ::applyBundle)
    private val seats = SeatControl(local, SeatAccess(platform, transport, clock, shared.metrics), random, scope)
    private val heartbeats = HeartbeatSource(shared, bundles, directory, random)

    /** Links to the peers. */
    val network = PeerNetwork(directory, transport, clock, scope, thread, heartbeats::next)

    private val steering = SteeringControl(
        local,
        clock,
        shared.windows,
        shared.drain,
        directory,
        network,
        SteeringParts(shared.targets, shared.peerRoutes, shared.runtimes, shared.limits, shared.steering),
    )

    /** Messages of peers that belong to no request. */
    val messages = PeerMessages(
        PeerMessageParts(directory, network, seats, bundles, shared.targets, shared.peerRoutes, shared.metrics),
        clock,
        scope,
        onPeerChanged = steering::refresh,
    )
    private val housekeeping = Housekeeping(
        local = local,
        clock = clock,
        drain = shared.drain,
        directory = directory,
        network = network,
        steering = steering,
        seats = seats,
        health = HealthMonitor(probeClient, clock, shared.metrics, scope),
        targets = shared.targets,
        records = shared.records,
        demand = shared.rate::update,
    )
    private val watch = PlatformWatch(platform, bundles, clock, shared.metrics) {
        housekeeping.isWatcher || bundles.inForce == null
    }
    private val vmList = VmListPoll(platform, shared.targets, heartbeats, shared.metrics, clock, directory) {
        housekeeping.isWatcher
    }

    /** Status of this process. */
    val status = StatusSource(shared, bundles, seats, directory, heartbeats) { watch.isStale(clock.now()) }

    private val statusWriter =
        StatusWriter(platform, shared.metrics, local.zone.value, status::report) { housekeeping.isFirstWatcher }

    /** Whether callers can be served and this VM is not leaving. */
    val isReady: Boolean get() = bundles.inForce != null && !shared.drain.isLeaving

    /** Starts to work; peers have to be accepted from now on. */
    fun start() {
        shared.seats = seats
        shared.settings.peers.forEach { directory.addConfigured(it, clock.now()) }
        scope.launch { housekeeping.run() }
        scope.launch { watch.run() }
        scope.launch { vmList.run() }
        scope.launch { statusWriter.run() }
    }

    /** Tells the peers at once that this VM is leaving. */
    fun announceLeaving() {
        scope.launch {
            seats.announceLeaving()
            network.announce()
            steering.refresh()
        }
    }

    /** Releases the seats; returns whether the platform has confirmed it within [limit]. */
    suspend fun releaseSeats(limit: Duration): Boolean = withContext(thread) { seats.finish(limit) }

    private fun applyBundle(bundle: VerifiedBundle) {
        steering.applyBundle(bundle)
        seats.applyBundle(bundle.bundle, shared.limits, shared.runtimes, shared.waiting)
        network.announce()
    }
}
