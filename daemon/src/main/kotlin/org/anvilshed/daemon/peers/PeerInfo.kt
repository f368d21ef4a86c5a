package org.anvilshed.daemon.peers

import org.anvilshed.core.MonotonicTime
import org.anvilshed.core.RegionName
import org.anvilshed.core.VmIdentity
import org.anvilshed.core.ZoneName
import org.anvilshed.core.membership.PeerState
import org.anvilshed.wire.peer.DeclaredState
import kotlin.time.Duration

/**
 * What this VM knows about one process of a peer that it has heard.
 *
 * @property callers base URL at which callers reach the peer.
 * @property state state at the time of the snapshot.
 * @property declared what the peer said about itself in its last heartbeat.
 * @property roundTrip shortest measured time between a heartbeat and its acknowledgement, `null` if none was measured.
 */
internal data class PeerInfo(
    val vm: VmIdentity,
    val zone: ZoneName,
    val region: RegionName,
    val callers: String,
    val state: PeerState,
    val declared: DeclaredState,
    val identifierWindow: Long,
    val bundleVersion: Long,
    val heardAt: MonotonicTime,
    val roundTrip: Duration?,
) {
    /** Whether the peer may be named to callers and get forwarded requests. */
    val isServing: Boolean get() = state == PeerState.ALIVE && declared == DeclaredState.SERVING
}
