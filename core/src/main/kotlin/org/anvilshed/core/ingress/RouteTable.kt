package org.anvilshed.core.ingress

/** Finds the route of a request by host and longest path prefix. Immutable; may be used by any thread. */
public class RouteTable(routes: List<IngressRoute>) {
    private val routesByHost: Map<String, Map<String, IngressRoute>> =
        routes.groupBy { hostWithoutPort(it.host) }.mapValues { (_, ofHost) -> ofHost.associateBy { it.pathPrefix } }

    /**
     * Returns the route of [host] with the longest prefix of [path], or `null` if there is none.
     *
     * @param host host name of the request, with or without the dot of the root domain and a port.
     */
    public fun findOrNull(host: String, path: String): IngressRoute? {
        val routesByPrefix = routesByHost[hostWithoutPort(host)] ?: return null
        // Route prefixes end with a slash, so only prefixes of the path that end with a slash can match.
        var end = path.lastIndexOf('/')
        while (end >= 0) {
            routesByPrefix[path.substring(0, end + 1)]?.let { return it }
            end = if (end == 0) -1 else path.lastIndexOf('/', end - 1)
        }
        return null
    }

    private fun hostWithoutPort(host: String): String = host.substringBefore(':').removeSuffix(".").lowercase()
}
