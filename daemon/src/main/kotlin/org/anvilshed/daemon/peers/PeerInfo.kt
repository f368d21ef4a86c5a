package org.anvilshed.daemon.peers

import org.anvilshed.core.MonotonicTime
import org.anvilshed.core.RegionName
import org.anvilshed.core.VmIdentity
import org.anvilshed.core.ZoneName
import org.anvilshed.wire.peer.DeclaredState
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

private val ALIVE_AGE = 2.seconds
private val SUSPECT_AGE = 6.seconds

/** Whether a process can be expected to answer. */
internal enum class PeerLiveness(val label: String) {
    ALIVE("alive"),
    SUSPECT("suspect"),
    UNREACHABLE("unreachable"),
}

/**
 * What this VM knows about one process of a peer.
 *
 * @property callers base URL at which callers reach the peer.
 * @property peers address at which this VM reaches the peer.
 * @property heardAt when the peer last gave a sign of life, on this process's clock.
 * @property roundTrip shortest measured time between a heartbeat and its acknowledgement, `null` if none was measured.
 */
internal data class PeerInfo(
    val vm: VmIdentity,
    val zone: ZoneName,
    val region: RegionName,
    val callers: String,
    val peers: String,
    val state: DeclaredState,
    val identifierWindow: Long,
    val heardAt: MonotonicTime,
    val bundleVersion: Long = 0,
    val roundTrip: Duration? = null,
) {
    val isLeaving: Boolean get() = state == DeclaredState.LEAVING

    fun livenessAt(now: MonotonicTime): PeerLiveness {
        val age = now - heardAt
        return when {
            age <= ALIVE_AGE -> PeerLiveness.ALIVE
            age <= SUSPECT_AGE -> PeerLiveness.SUSPECT
            else -> PeerLiveness.UNREACHABLE
        }
    }

    /** Whether the peer may be named to callers and get forwarded requests. */
    fun isServingAt(now: MonotonicTime): Boolean =
        state == DeclaredState.SERVING && livenessAt(now) == PeerLiveness.ALIVE
}
