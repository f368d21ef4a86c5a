package org.anvilshed.gateway.callers

/**
 * Target of a request line (RFC 9112, section 3.2).
 *
 * @property authority host and port of an absolute URI; `null` if the target is none.
 * @property pathAndQuery the target without scheme and authority.
 */
internal class RequestTarget private constructor(val authority: String?, val pathAndQuery: String) {
    /** Path that selects the route. */
    val path: String
        get() = pathAndQuery.substringBefore('#').substringBefore('?')

    companion object {
        private val ABSOLUTE_URI = Regex("""[a-zA-Z][a-zA-Z0-9+.-]*://([^/?#]*)(.*)""")

        /** Returns the target in [uri]. */
        fun parse(uri: String): RequestTarget {
            val absolute = if (uri.startsWith("/")) null else ABSOLUTE_URI.matchEntire(uri)
            if (absolute == null) return RequestTarget(null, uri)
            val (authority, rest) = absolute.destructured
            val pathAndQuery = if (rest.startsWith("/")) rest else "/$rest"
            return RequestTarget(authority.substringAfterLast('@'), pathAndQuery)
        }
    }
}
