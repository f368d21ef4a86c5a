package org.anvilshed.gateway

import io.netty.channel.AdaptiveRecvByteBufAllocator
import io.vertx.core.http.HttpConnection
import io.vertx.core.net.impl.ConnectionBase
import org.anvilshed.core.MonotonicTime
import org.anvilshed.core.ingress.CallerLimits

/** Open connections of callers, to close those that idle or stall. Used by the event loop alone. */
internal class CallerConnections(private val clock: MonotonicClock) {
    private class Usage(var idleSince: MonotonicTime, val guard: RequestHeadGuard) {
        var requests = 0
    }

    private val usages = HashMap<HttpConnection, Usage>()

    val count: Int
        get() = usages.size

    fun opened(connection: HttpConnection) {
        val guard = RequestHeadGuard(clock)
        val channel = (connection as ConnectionBase).channel()
        channel.pipeline().addFirst(guard)
        // Reads until the socket is empty, so that a close that lies behind a request is seen in the same turn, before
        // the request is sent on. By default it is seen a turn later, which takes long on a busy VM.
        channel.config().setRecvByteBufAllocator(
            AdaptiveRecvByteBufAllocator().respectMaybeMoreData(false).maxMessagesPerRead(READS_PER_TURN),
        )
        usages[connection] = Usage(clock(), guard)
        connection.closeHandler { usages.remove(connection) }
    }

    fun requestStarted(connection: HttpConnection) {
        usages[connection]?.let { it.requests++ }
    }

    fun requestEnded(connection: HttpConnection) {
        usages[connection]?.let {
            it.requests--
            it.idleSince = clock()
            it.guard.requestEnded()
        }
    }

    /** Closes the connections that have idled, or held an incomplete head, for longer than [limits] allow. */
    fun closeStalled(limits: CallerLimits, now: MonotonicTime) {
        val stalled = usages.filterValues { usage ->
            val headSince = usage.guard.incompleteSince
            if (headSince != null) {
                now - headSince >= limits.headerTimeout
            } else {
                usage.requests == 0 && now - usage.idleSince >= limits.idleTimeout
            }
        }
        stalled.keys.toList().forEach { it.close() }
    }

    private companion object {
        /** Bounds the time that one connection takes from the others; the default of Netty. */
        const val READS_PER_TURN = 16
    }
}
