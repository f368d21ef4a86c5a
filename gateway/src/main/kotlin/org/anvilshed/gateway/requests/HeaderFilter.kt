package org.anvilshed.gateway.requests

import io.vertx.core.MultiMap
import io.vertx.core.http.HttpHeaders

/** Headers that concern a single connection (RFC 9110, section 7.6.1), and those that each hop sets itself. */
private val CONNECTION_HEADERS = setOf(
    "connection", "keep-alive", "proxy-connection", "proxy-authenticate", "proxy-authorization", "te", "trailer",
    "transfer-encoding", "upgrade", "content-length", "expect",
)

/** Returns the headers of [headers] that are passed on to the next hop. */
internal fun endToEndHeaders(headers: MultiMap): MultiMap {
    val named = headers.getAll("Connection").flatMap { it.split(',') }.mapTo(HashSet()) { it.trim().lowercase() }
    val result = HttpHeaders.headers()
    for ((name, value) in headers) {
        val lowerCase = name.lowercase()
        if (lowerCase !in CONNECTION_HEADERS && lowerCase !in named) result.add(name, value)
    }
    return result
}
