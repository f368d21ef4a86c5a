package org.anvilshed.core.membership

import kotlinx.serialization.Serializable
import org.anvilshed.core.RegionName
import org.anvilshed.core.VmName
import org.anvilshed.core.ZoneName

/**
 * Where an entry VM can be reached, as told by settings, heartbeats or the platform's list. Says nothing about whether
 * it is alive.
 *
 * @property region region of the VM, or `null` if the source did not tell it; the zone decides it in a bundle.
 * @property address IP address and port for peers.
 */
@Serializable
public data class PeerContact(
    public val name: VmName,
    public val zone: ZoneName,
    public val address: String,
    public val region: RegionName? = null,
)
