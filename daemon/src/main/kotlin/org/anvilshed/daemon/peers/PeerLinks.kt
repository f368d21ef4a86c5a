package org.anvilshed.daemon.peers

import org.anvilshed.core.VmIdentity
import org.anvilshed.core.VmName
import org.anvilshed.wire.peer.PeerLink

/** Links to the peers for the request path. */
internal interface PeerLinks {
    /** Returns the open link to the process [vm], or `null`. */
    fun linkTo(vm: VmIdentity): PeerLink?

    /** Returns the process of the VM [name] that sent the latest message, or `null` if no message was received. */
    fun newestProcessOf(name: VmName): VmIdentity?

    /**
     * Returns a link to the VM [name], or `null` if it cannot be reached; connects if there is no link. The VM may turn
     * out to run another process than expected. The link must be closed after its use unless it is a neighbor's link,
     * see [isNeighborLink].
     */
    suspend fun connectTo(name: VmName): PeerLink?

    /** Returns whether [link] is the link to a neighbor, which is shared and must not be closed after use. */
    fun isNeighborLink(link: PeerLink): Boolean
}
