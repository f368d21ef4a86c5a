package org.anvilshed.daemon.peers

import org.anvilshed.core.MonotonicTime
import org.anvilshed.core.RegionName
import org.anvilshed.core.VmIdentity
import org.anvilshed.core.ZoneName
import org.anvilshed.core.membership.PeerState
import org.anvilshed.wire.peer.DeclaredState
import kotlin.time.Duration

/**
 * State of one process of a peer, as known from its messages.
 *
 * @property callerUrl base URL at which callers reach the peer.
 * @property state state at the time of the snapshot.
 * @property declared state that the peer announced in its last heartbeat.
 * @property roundTrip shortest measured time between a heartbeat and its acknowledgement, `null` if none was measured.
 */
internal data class PeerInfo(
    val vm: VmIdentity,
    val zone: ZoneName,
    val region: RegionName,
    val callerUrl: String,
    val state: PeerState,
    val declared: DeclaredState,
    val identifierWindow: Long,
    val bundleVersion: Long,
    val lastMessageAt: MonotonicTime,
    val roundTrip: Duration?,
) {
    /** Whether the peer may be listed in lookups and may receive forwarded requests. */
    val isServing: Boolean get() = state == PeerState.ALIVE && declared == DeclaredState.SERVING
}
