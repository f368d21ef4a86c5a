package org.anvilshed.daemon.peers

import org.anvilshed.core.MonotonicTime
import org.anvilshed.core.VmIdentity
import org.anvilshed.core.VmName
import org.anvilshed.wire.peer.DeclaredState
import org.anvilshed.wire.peer.Heartbeat
import org.anvilshed.wire.peer.Hello
import org.anvilshed.wire.peer.KnownPeer
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Processes of former incarnations that are remembered, so that their late messages change nothing. */
private const val REMEMBERED_PROCESSES = 1_000

/** Time after which a process that gives no sign of life is forgotten. */
private val FORGET_AGE = (10 * 60_000).milliseconds

/**
 * Known peers by name, one process each. Changed by one thread; [peers] may be read by any.
 *
 * A process that declared that it is leaving stays leaving, and a process that was replaced does not come back.
 */
internal class PeerDirectory(private val self: VmIdentity) {
    private val replaced = LinkedHashSet<VmIdentity>()

    /** Snapshot of the known peers. */
    @Volatile
    var peers: Map<VmName, PeerInfo> = emptyMap()
        private set

    /** Records a sign of life of the process that sent [hello] on a link. */
    fun heard(hello: Hello, now: MonotonicTime) {
        val known = peers[hello.vm.name]?.takeIf { it.vm == hello.vm }
        put(known?.copy(heardAt = now) ?: hello.toInfo(now))
    }

    /** Records a heartbeat of the process that sent [hello] on the same link. */
    fun heard(hello: Hello, heartbeat: Heartbeat, now: MonotonicTime) {
        val known = peers[hello.vm.name]?.takeIf { it.vm == hello.vm } ?: hello.toInfo(now)
        put(
            known.copy(
                state = if (known.isLeaving) DeclaredState.LEAVING else heartbeat.state,
                identifierWindow = maxOf(known.identifierWindow, heartbeat.identifierWindow),
                bundleVersion = heartbeat.bundleVersion,
                heardAt = now,
            ),
        )
    }

    /** Records the time between a heartbeat to [vm] and its acknowledgement. */
    fun measured(vm: VmIdentity, roundTrip: Duration) {
        val known = peers[vm.name]?.takeIf { it.vm == vm } ?: return
        put(known.copy(roundTrip = minOf(known.roundTrip ?: roundTrip, roundTrip)))
    }

    /** Takes over what a peer knows about other processes, unless this VM knows something newer. */
    fun learn(known: KnownPeer, now: MonotonicTime) {
        if (known.vm.name == self.name) return
        val heardAt = now - known.ageMilliseconds.coerceAtLeast(0).milliseconds
        val present = peers[known.vm.name]
        if (present == null || (present.vm != known.vm && heardAt > present.heardAt)) {
            if (now - heardAt < FORGET_AGE) put(known.toInfo(heardAt))
        } else if (present.vm == known.vm) {
            put(
                present.copy(
                    state = if (known.state == DeclaredState.LEAVING) DeclaredState.LEAVING else present.state,
                    identifierWindow = maxOf(present.identifierWindow, known.identifierWindow),
                    heardAt = maxOf(present.heardAt, heardAt),
                ),
            )
        }
    }

    /** Forgets processes that have been silent for long. */
    fun forgetSilent(now: MonotonicTime) {
        val remaining = peers.filterValues { now - it.heardAt < FORGET_AGE }
        if (remaining.size != peers.size) peers = remaining
    }

    private fun put(info: PeerInfo) {
        if (info.vm.name == self.name || info.vm in replaced) return
        val present = peers[info.vm.name]
        if (present != null && present.vm != info.vm) {
            replaced += present.vm
            if (replaced.size > REMEMBERED_PROCESSES) replaced.remove(replaced.first())
        }
        peers = peers + (info.vm.name to info)
    }
}

private fun Hello.toInfo(now: MonotonicTime) =
    PeerInfo(vm, zone, region, callers, peers, DeclaredState.STARTING, identifierWindow = 0, heardAt = now)

private fun KnownPeer.toInfo(heardAt: MonotonicTime) =
    PeerInfo(vm, zone, region, callers, peers, state, identifierWindow, heardAt)
