package org.anvilshed.gateway

import org.anvilshed.core.ingress.IngressConfig
import org.anvilshed.core.ingress.RouteTable
import org.anvilshed.core.ingress.WeightedRoundRobin
import java.util.concurrent.atomic.AtomicReference

/** Config in force with what is derived from it. */
public class ActiveConfig(public val config: IngressConfig) {
    /** Routes of the config. */
    public val routes: RouteTable = RouteTable(config.routes)
    private val rotations = HashMap<String, WeightedRoundRobin>()

    /** Rotation over the parts of the route [name]; used by the event loop alone. */
    public fun rotation(name: String): WeightedRoundRobin = rotations.getOrPut(name) {
        WeightedRoundRobin(config.routes.first { it.name == name }.parts)
    }
}

/** Config in force at this VM. Readers take a snapshot; versions only rise. */
public class IngressState {
    private val active = AtomicReference<ActiveConfig?>()

    /** Config in force, or `null` before the first one is known. */
    public val currentOrNull: ActiveConfig?
        get() = active.get()

    /** Puts [config] in force if its version is higher than the one in force; returns whether it was. */
    public fun replace(config: IngressConfig): Boolean {
        val replacement = ActiveConfig(config)
        while (true) {
            val present = active.get()
            if (present != null && present.config.version >= config.version) return false
            if (active.compareAndSet(present, replacement)) return true
        }
    }
}
