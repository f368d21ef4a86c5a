package org.anvilshed.daemon.control

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.delay
import org.anvilshed.core.VmName
import org.anvilshed.core.execution.ExecutionRecords
import org.anvilshed.core.lifecycle.DrainState
import org.anvilshed.core.routing.TargetRegistry
import org.anvilshed.daemon.CONTROL_TICK
import org.anvilshed.daemon.DaemonClock
import org.anvilshed.daemon.peers.PeerDirectory
import org.anvilshed.daemon.peers.PeerLiveness
import org.anvilshed.daemon.peers.PeerNetwork
import org.anvilshed.daemon.seats.SeatControl
import org.anvilshed.daemon.steering.LocalVm

private val logger = KotlinLogging.logger {}
private const val TICKS_PER_SECOND = 10

/** Work that is done at fixed intervals on the control thread. */
internal class Housekeeping(
    private val local: LocalVm,
    private val clock: DaemonClock,
    private val drain: DrainState,
    private val directory: PeerDirectory,
    private val network: PeerNetwork,
    private val steering: SteeringControl,
    private val seats: SeatControl,
    private val health: HealthMonitor,
    private val targets: TargetRegistry,
    private val records: ExecutionRecords,
    private val demand: () -> Double,
) {
    private val clockGuard = ClockGuard(clock)
    private var reportedStates: Map<VmName, String> = emptyMap()

    /** Whether this VM is one of the watchers of its zone; refreshed once a tick. */
    @Volatile
    var isWatcher: Boolean = false
        private set

    /** Whether this VM is the one that writes the status of its zone. */
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
        val probed = targets.table.targets.filter { it.zone == local.zone || !seats.useOf(it.zone).seats.isEmpty() }
        health.probe(probed)
        logPeerChanges()
    }

    private fun everySecond() {
        if (!clockGuard.check()) {
            logger.warn { "the clocks disagree: all seats are given up until they are renewed" }
            seats.suspendRights()
        }
        directory.forgetSilent(clock.now())
        val zones = network.knownZones()
        network.applyNeighbors(neighborsOf(local.name, local.zone, zones))
        records.expire(clock.now())
        seats.changeDemand(demand())
    }

    private fun selectWatchers() {
        val now = clock.now()
        val live = directory.peers.values
            .filter { it.zone == local.zone && !it.isLeaving && it.livenessAt(now) != PeerLiveness.UNREACHABLE }
            .map { it.vm.name }
        val watchers = watchersOf(local.zone, if (drain.isLeaving) live else live + local.name)
        isWatcher = local.name in watchers
        isFirstWatcher = watchers.firstOrNull() == local.name
    }

    private fun logPeerChanges() {
        val now = clock.now()
        val states = directory.peers.mapValues { (_, peer) ->
            if (peer.isLeaving) "leaving" else peer.livenessAt(now).label
        }
        for ((name, state) in states) {
            if (reportedStates[name] != state) logger.info { "peer $name is $state" }
        }
        reportedStates = states
    }
}
