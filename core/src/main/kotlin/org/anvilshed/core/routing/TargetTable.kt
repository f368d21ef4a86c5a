package org.anvilshed.core.routing

import org.anvilshed.core.ServiceName
import org.anvilshed.core.TargetName
import org.anvilshed.core.ZoneName

/** Immutable snapshot of the targets of one bundle; see [TargetRegistry]. */
public class TargetTable internal constructor(
    private val byName: Map<TargetName, TargetState>,
    private val groups: Map<Pair<ServiceName, ZoneName>, TargetGroup>,
) {
    /** All targets. */
    public val targets: Collection<TargetState>
        get() = byName.values

    /** Returns the target named [name], or `null` if the bundle does not list it. */
    public fun targetOrNull(name: TargetName): TargetState? = byName[name]

    /** Returns the targets of [service] in [zone], or `null` if there are none. */
    public fun groupOrNull(service: ServiceName, zone: ZoneName): TargetGroup? = groups[service to zone]

    public companion object {
        /** Table before the first bundle. */
        public val EMPTY: TargetTable = TargetTable(emptyMap(), emptyMap())
    }
}
