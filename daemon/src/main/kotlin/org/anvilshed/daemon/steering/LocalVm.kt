package org.anvilshed.daemon.steering

import org.anvilshed.core.RegionName
import org.anvilshed.core.VmIdentity
import org.anvilshed.core.VmName
import org.anvilshed.core.ZoneName

/**
 * This process and its place.
 *
 * @property callers base URL at which callers reach it.
 * @property peers address at which peers reach it.
 */
internal data class LocalVm(
    val identity: VmIdentity,
    val zone: ZoneName,
    val region: RegionName,
    val callers: String,
    val peers: String,
) {
    val name: VmName get() = identity.name
}
