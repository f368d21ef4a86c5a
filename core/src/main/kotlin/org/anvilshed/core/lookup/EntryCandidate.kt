package org.anvilshed.core.lookup

import org.anvilshed.core.RegionName
import org.anvilshed.core.VmIdentity
import org.anvilshed.core.ZoneName

/**
 * An entry VM that a lookup may return: alive, not leaving, and reachable by callers.
 *
 * @property url base URL for callers.
 * @property identifierWindow identifier window of the VM, as last received from it; part of its token.
 * @property weight relative spare capacity, greater than 0; a VM of twice the weight comes first twice as often.
 */
public data class EntryCandidate(
    public val vm: VmIdentity,
    public val zone: ZoneName,
    public val region: RegionName,
    public val url: String,
    public val identifierWindow: Long,
    public val weight: Double,
) {
    /** Prefix of the request identifiers that only this VM may execute. */
    public val token: String get() = "$vm.$identifierWindow"
}
