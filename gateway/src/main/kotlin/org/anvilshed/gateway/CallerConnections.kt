package org.anvilshed.gateway

import io.vertx.core.http.HttpConnection
import org.anvilshed.core.MonotonicTime
import kotlin.time.Duration

/** Open connections of callers, to close those that idle too long. Used by the event loop alone. */
internal class CallerConnections(private val clock: Clock) {
    private class Usage(var idleSince: MonotonicTime) {
        var requests = 0
    }

    private val usages = HashMap<HttpConnection, Usage>()

    val count: Int
        get() = usages.size

    fun opened(connection: HttpConnection) {
        usages[connection] = Usage(clock())
        connection.closeHandler { usages.remove(connection) }
    }

    fun requestStarted(connection: HttpConnection) {
        usages[connection]?.let { it.requests++ }
    }

    fun requestEnded(connection: HttpConnection) {
        usages[connection]?.let {
            it.requests--
            it.idleSince = clock()
        }
    }

    /** Closes the connections that have had no request for [limit]. */
    fun closeIdle(limit: Duration, now: MonotonicTime) {
        val idle = usages.filterValues { it.requests == 0 && now - it.idleSince >= limit }.keys.toList()
        idle.forEach { it.close() }
    }
}
