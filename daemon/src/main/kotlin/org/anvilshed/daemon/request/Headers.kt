package org.anvilshed.daemon.request

import org.anvilshed.wire.peer.HeaderField

private const val ANVILSHED_PREFIX = "anvilshed-"

/** Hop-by-hop headers (RFC 9110, section 7.6.1), and headers that each sender sets itself. */
private val CONNECTION_HEADERS = setOf(
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "expect",
    "host",
)

/** Headers that only an entry VM may set on a request to a target. */
private val TARGET_REQUEST_HEADERS = setOf("deadline-ms", "request-id")

/** Headers that a target sends to the entry VM and not to the caller. */
private val TARGET_RESPONSE_HEADERS = setOf("not-run", "draining")

/** Returns the headers of a request that are passed on to the target. */
internal fun endToEndRequestHeaders(headers: Iterable<Map.Entry<String, String>>): List<HeaderField> =
    endToEnd(headers, TARGET_REQUEST_HEADERS)

/** Returns the headers of a response that are passed on to the caller. */
internal fun endToEndResponseHeaders(headers: Iterable<Map.Entry<String, String>>): List<HeaderField> =
    endToEnd(headers, TARGET_RESPONSE_HEADERS)

private fun endToEnd(headers: Iterable<Map.Entry<String, String>>, reserved: Set<String>): List<HeaderField> {
    val namedInConnection = headers.filter { it.key.equals("connection", ignoreCase = true) }
        .flatMap { it.value.split(',') }
        .mapTo(HashSet()) { it.trim().lowercase() }
    return headers.mapNotNull { (name, value) ->
        val lower = name.lowercase()
        val isHopByHop = lower in CONNECTION_HEADERS || lower in reserved || lower in namedInConnection
        if (isHopByHop || lower.startsWith(ANVILSHED_PREFIX)) null else HeaderField(name, value)
    }
}

/** Returns the value of the first header [name], or `null`. */
internal fun List<HeaderField>.valueOrNull(name: String): String? =
    firstOrNull { it.name.equals(name, ignoreCase = true) }?.value
