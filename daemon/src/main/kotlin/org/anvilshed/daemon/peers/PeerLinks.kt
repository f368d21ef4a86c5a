package org.anvilshed.daemon.peers

import org.anvilshed.core.VmIdentity
import org.anvilshed.core.VmName
import org.anvilshed.wire.peer.PeerLink

/** Links to the peers, as the request path needs them. */
internal interface PeerLinks {
    /** Returns the open link to the process [vm], or `null`. */
    fun linkTo(vm: VmIdentity): PeerLink?

    /** Returns the process that was heard last of the VM [name], or `null` if none was ever heard of. */
    fun newestProcessOf(name: VmName): VmIdentity?

    /**
     * Returns a link to the VM [name], which may turn out to run another process; connects if there is none. A link
     * that is not kept, see [isKept], is to be closed after its use.
     */
    suspend fun connectTo(name: VmName): PeerLink?

    /** Whether [link] belongs to a neighbor and is used by others too. */
    fun isKept(link: PeerLink): Boolean
}
