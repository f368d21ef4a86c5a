package org.anvilshed.gateway.requests

import io.vertx.core.MultiMap
import io.vertx.core.http.HttpHeaders

/** Hop-by-hop headers (RFC 9110, section 7.6.1), in lower case, and headers that each hop sets itself. */
private val HOP_BY_HOP_HEADERS = setOf(
    "connection", "keep-alive", "proxy-connection", "proxy-authenticate", "proxy-authorization", "te", "trailer",
    "transfer-encoding", "upgrade", "content-length", "expect",
)

/** Returns those of [headers] that are forwarded; headers that `Connection` names are hop-by-hop as well. */
internal fun endToEndHeaders(headers: MultiMap): MultiMap {
    val namedByConnection = headers.getAll("Connection").flatMap {
        it.split(',')
    }.mapTo(HashSet()) { it.trim().lowercase() }
    val result = HttpHeaders.headers()
    for ((name, value) in headers) {
        val lowerCase = name.lowercase()
        if (lowerCase !in HOP_BY_HOP_HEADERS && lowerCase !in namedByConnection) result.add(name, value)
    }
    return result
}
