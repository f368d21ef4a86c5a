package org.anvilshed.daemon.steering

import org.anvilshed.core.RegionName
import org.anvilshed.core.VmIdentity
import org.anvilshed.core.VmName
import org.anvilshed.core.ZoneName

/**
 * Identity, zone, region and addresses of this process.
 *
 * @property callerUrl base URL at which callers reach this process.
 * @property peerAddress address at which peers reach this process.
 */
internal data class LocalVm(
    val identity: VmIdentity,
    val zone: ZoneName,
    val region: RegionName,
    val callerUrl: String,
    val peerAddress: String,
) {
    val name: VmName get() = identity.name
}
