package org.anvilshed.gateway

import org.anvilshed.core.ingress.IngressConfig
import org.anvilshed.core.ingress.RouteTable
import org.anvilshed.core.ingress.WeightedRoundRobin
import java.util.concurrent.atomic.AtomicReference

/** A config together with the objects that are derived from it. */
public class ActiveConfig(public val config: IngressConfig) {
    /** Lookup of routes by host and path. */
    public val routes: RouteTable = RouteTable(config.routes)
    private val rotations = HashMap<String, WeightedRoundRobin>()

    /** Returns the weighted round robin over the parts of the route [name]. Confined to the event loop. */
    public fun rotation(name: String): WeightedRoundRobin = rotations.getOrPut(name) {
        WeightedRoundRobin(config.routes.first { it.name == name }.parts)
    }
}

/** Config that is active at this VM; its version only increases. Thread-safe. */
public class IngressState {
    private val active = AtomicReference<ActiveConfig?>()

    /** Active config, or `null` before the first config was received. */
    public val currentOrNull: ActiveConfig?
        get() = active.get()

    /** Activates [config] if its version is higher than the active one; returns whether it was activated. */
    public fun replace(config: IngressConfig): Boolean {
        val replacement = ActiveConfig(config)
        while (true) {
            val current = active.get()
            if (current != null && current.config.version >= config.version) return false
            if (active.compareAndSet(current, replacement)) return true
        }
    }
}
