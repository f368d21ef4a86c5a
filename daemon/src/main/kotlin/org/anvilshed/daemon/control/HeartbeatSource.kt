package org.anvilshed.daemon.control

import org.anvilshed.core.TargetName
import org.anvilshed.core.membership.PeerContact
import org.anvilshed.core.routing.TargetState
import org.anvilshed.daemon.SharedState
import org.anvilshed.daemon.peers.PeerDirectory
import org.anvilshed.wire.peer.DeclaredState
import org.anvilshed.wire.peer.Heartbeat
import org.anvilshed.wire.peer.ServiceLoad
import kotlin.random.Random

/** Number of random peers listed in one heartbeat; a list of all peers would be too long in large deployments. */
private const val KNOWN_PEERS_PER_HEARTBEAT = 8

/** Builds the heartbeats that this process sends to its peers. */
internal class HeartbeatSource(
    private val shared: SharedState,
    private val bundles: BundleKeeper,
    private val directory: PeerDirectory,
    private val random: Random,
) {
    private val clock = shared.clock

    /** Targets that are leaving according to the VM list of the platform; empty if this VM does not read the list. */
    @Volatile
    var leavingInVmList: Set<TargetName> = emptySet()

    /** State of this process as it is announced to peers. */
    val state: DeclaredState
        get() = when {
            shared.drain.isLeaving -> DeclaredState.LEAVING
            bundles.inForce == null -> DeclaredState.STARTING
            else -> DeclaredState.SERVING
        }

    /** Returns the heartbeat with sequence number [sequence]. */
    fun next(sequence: Long): Heartbeat = Heartbeat(
        sequence = sequence,
        state = state,
        bundle = bundles.advertised,
        identifierWindow = shared.windows.currentWindow(clock.now()),
        loads = loads(),
        targetsLeaving = (shared.targets.observedDraining() + leavingInVmList).toList(),
        knownPeers = knownPeers(),
    )

    /** Returns the owned and free slots of the targets in the own zone for each service. */
    fun loads(): List<ServiceLoad> {
        val now = clock.now()
        val wallNow = clock.wallNow()
        val pool = shared.limits.poolOf(shared.local.zone)
        val own = shared.targets.table.targets.filter { it.zone == shared.local.zone }.groupBy { it.service }
        return shared.runtimes.all.map { runtime ->
            val members = own[runtime.name].orEmpty()
            val queued = runtime.queue.size
            val free = members.filter {
                it.isAvailable(now, wallNow)
            }.sumOf { it.freeSlots(pool.free(it.name, now), now) }
            ServiceLoad(
                service = runtime.name,
                ownedSlots = members.sumOf { pool.owned(it.name) },
                freeSlots = (free - queued).coerceAtLeast(0),
                queued = queued,
                estimatedWaitMilliseconds = 0,
            )
        }
    }

    private fun TargetState.freeSlots(owned: Int, now: org.anvilshed.core.MonotonicTime): Int =
        minOf(owned, slowStartLimit(now) - inFlight).coerceAtLeast(0)

    private fun knownPeers(): List<PeerContact> = directory.contacts().shuffled(random).take(KNOWN_PEERS_PER_HEARTBEAT)
}
