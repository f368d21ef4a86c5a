package org.anvilshed.core.ingress

/** Routes of one config, found by host and longest path prefix. Immutable; may be read by any thread. */
public class RouteTable(routes: List<IngressRoute>) {
    private val routesByHost: Map<String, Map<String, IngressRoute>> =
        routes.groupBy { it.host.lowercase() }.mapValues { (_, ofHost) -> ofHost.associateBy { it.pathPrefix } }

    /** Returns the route of [host] whose prefix is the longest one that begins [path], or `null` if none matches. */
    public fun findOrNull(host: String, path: String): IngressRoute? {
        val routesByPrefix = routesByHost[hostWithoutPort(host)] ?: return null
        // Prefixes end with a slash, so only the parts of the path up to a slash can match.
        var end = path.lastIndexOf('/')
        while (end >= 0) {
            routesByPrefix[path.substring(0, end + 1)]?.let { return it }
            end = if (end == 0) -1 else path.lastIndexOf('/', end - 1)
        }
        return null
    }

    private fun hostWithoutPort(host: String): String = host.substringBefore(':').lowercase()
}
