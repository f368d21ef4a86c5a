package org.anvilshed.core.membership

import kotlinx.serialization.Serializable
import org.anvilshed.core.RegionName
import org.anvilshed.core.VmName
import org.anvilshed.core.ZoneName

/**
 * Location and address of an entry VM according to the settings, a heartbeat or the platform's VM list. A contact does
 * not imply that the VM is alive.
 *
 * @property region region of the VM, or `null` if the source does not state it; in a bundle, the zone determines it.
 * @property address IP address and port for peers.
 */
@Serializable
public data class PeerContact(
    public val name: VmName,
    public val zone: ZoneName,
    public val address: String,
    public val region: RegionName? = null,
)
