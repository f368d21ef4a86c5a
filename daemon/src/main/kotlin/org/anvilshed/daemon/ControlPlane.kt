package org.anvilshed.daemon

import io.github.oshai.kotlinlogging.KotlinLogging
import io.vertx.core.http.HttpClient
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import org.anvilshed.core.bundle.BundleVerifier
import org.anvilshed.core.bundle.VerifiedBundle
import org.anvilshed.daemon.control.BundleKeeper
import org.anvilshed.daemon.control.HealthMonitor
import org.anvilshed.daemon.control.HeartbeatSource
import org.anvilshed.daemon.control.Housekeeping
import org.anvilshed.daemon.control.PeerMessageComponents
import org.anvilshed.daemon.control.PeerMessages
import org.anvilshed.daemon.control.PlatformWatch
import org.anvilshed.daemon.control.StatusSource
import org.anvilshed.daemon.control.StatusWriter
import org.anvilshed.daemon.control.SteeringComponents
import org.anvilshed.daemon.control.SteeringControl
import org.anvilshed.daemon.control.VmListPoll
import org.anvilshed.daemon.peers.PeerDirectory
import org.anvilshed.daemon.peers.PeerNetwork
import org.anvilshed.daemon.seats.ShareControl
import org.anvilshed.daemon.seats.ShareLedgerAccess
import org.anvilshed.wire.peer.PeerTransport
import org.anvilshed.wire.platform.PlatformClient
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

private val logger = KotlinLogging.logger {}

/** Bounds the load of work that fails again and again. */
private val RESTART_DELAY = 100.milliseconds

/**
 * Creates and connects the components that decide how requests are steered. All of them run on the control thread.
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
    private val shares =
        ShareControl(local, ShareLedgerAccess(platform, transport, clock, shared.metrics), random, scope)
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
        SteeringComponents(shared.targets, shared.peerRoutes, shared.runtimes, shared.limits, shared.steering),
    )

    /** Handler of messages of peers that do not belong to a request. */
    val messages = PeerMessages(
        PeerMessageComponents(directory, network, shares, bundles, shared.targets, shared.peerRoutes, shared.metrics),
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
        shares = shares,
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

    /** Source of the status report of this process. */
    val status = StatusSource(shared, bundles, shares, directory, heartbeats) { watch.isStale(clock.now()) }

    private val statusWriter =
        StatusWriter(platform, shared.metrics, local.zone.value, status::report) { housekeeping.isFirstWatcher }

    /** Whether a bundle is in force and this VM is not leaving. */
    val isReady: Boolean get() = bundles.inForce != null && !shared.drain.isLeaving

    /** Starts all periodic tasks. Connections of peers must be accepted when this is called. */
    fun start() {
        shared.shares = shares
        shared.settings.peers.forEach { directory.addConfigured(it, clock.now()) }
        keepRunning("housekeeping") { housekeeping.run() }
        keepRunning("platform watch") { watch.run() }
        keepRunning("VM list") { vmList.run() }
        keepRunning("status") { statusWriter.run() }
    }

    /** Runs [work], which ends only with the process, and starts it again after an unexpected exception. */
    private fun keepRunning(name: String, work: suspend () -> Unit) {
        scope.launch {
            while (true) {
                try {
                    work()
                } catch (cancelled: CancellationException) {
                    throw cancelled
                } catch (@Suppress("TooGenericExceptionCaught") fault: Exception) {
                    shared.metrics.recordUnexpectedFault()
                    logger.error(fault) { "unexpected exception in the work of: $name" }
                }
                delay(RESTART_DELAY)
            }
        }
    }

    /** Announces to the peers at once that this VM is leaving. */
    fun announceLeaving() {
        scope.launch {
            shares.announceLeaving()
            network.announce()
            steering.refresh()
        }
    }

    /** Releases the shares; returns whether the platform has confirmed the release within [limit]. */
    suspend fun releaseShares(limit: Duration): Boolean = withContext(thread) { shares.finish(limit) }

    private fun applyBundle(bundle: VerifiedBundle) {
        steering.applyBundle(bundle)
        shares.applyBundle(bundle.bundle, shared.limits, shared.runtimes, shared.queues)
        network.announce()
    }
}
