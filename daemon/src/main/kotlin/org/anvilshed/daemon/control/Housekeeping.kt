package org.anvilshed.daemon.control

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.delay
import org.anvilshed.core.VmIdentity
import org.anvilshed.core.execution.ExecutionRecords
import org.anvilshed.core.lifecycle.DrainState
import org.anvilshed.core.membership.PeerState
import org.anvilshed.core.routing.TargetRegistry
import org.anvilshed.daemon.CONTROL_TICK
import org.anvilshed.daemon.DaemonClock
import org.anvilshed.daemon.peers.PeerDirectory
import org.anvilshed.daemon.peers.PeerNetwork
import org.anvilshed.daemon.seats.ShareControl
import org.anvilshed.daemon.steering.LocalVm

private val logger = KotlinLogging.logger {}
private const val TICKS_PER_SECOND = 10

/** Runs the periodic tasks of the control thread. */
internal class Housekeeping(
    private val local: LocalVm,
    private val clock: DaemonClock,
    private val drain: DrainState,
    private val directory: PeerDirectory,
    private val network: PeerNetwork,
    private val steering: SteeringControl,
    private val shares: ShareControl,
    private val health: HealthMonitor,
    private val targets: TargetRegistry,
    private val records: ExecutionRecords,
    private val demand: () -> Double,
) {
    private val clockGuard = ClockGuard(clock)
    private var reportedStates: Map<VmIdentity, PeerState> = emptyMap()

    /** Whether this VM is one of the VMs of its zone that watch the platform; updated once a tick. */
    @Volatile
    var isWatcher: Boolean = false
        private set

    /** Whether this VM is the first of the watchers, which writes the status of its zone. */
    @Volatile
    var isFirstWatcher: Boolean = false
        private set

    suspend fun run() {
        var tick = 0L
        while (true) {
            everyTick()
            if (tick++ % TICKS_PER_SECOND == 0L) everySecond()
            delay(CONTROL_TICK)
        }
    }

    private fun everyTick() {
        selectWatchers()
        steering.refresh()
        val probed = targets.table.targets.filter {
            it.zone == local.zone || !shares.usableSharesOf(it.zone).shares.isEmpty()
        }
        health.probe(probed)
        logPeerChanges()
    }

    private fun everySecond() {
        if (!clockGuard.check()) {
            logger.warn { "the monotonic clock and the wall clock disagree: no share is used until it is renewed" }
            shares.suspendShares()
        }
        network.applyNeighbors(directory.neighbors(clock.now()))
        records.expire(clock.now())
        shares.changeDemand(demand())
    }

    private fun selectWatchers() {
        val watchers = directory.watchers(local.zone, drain.isLeaving, clock.now())
        isWatcher = local.name in watchers
        isFirstWatcher = watchers.firstOrNull() == local.name
    }

    private fun logPeerChanges() {
        val states = directory.peers.associate { it.vm to it.state }
        for ((vm, state) in states) {
            if (reportedStates[vm] != state) logger.info { "peer $vm is ${state.name.lowercase()}" }
        }
        reportedStates = states
    }
}
