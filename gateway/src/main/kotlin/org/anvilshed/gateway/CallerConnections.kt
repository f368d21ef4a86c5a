package org.anvilshed.gateway

import io.netty.channel.AdaptiveRecvByteBufAllocator
import io.vertx.core.http.HttpConnection
import io.vertx.core.net.impl.ConnectionBase
import org.anvilshed.core.MonotonicTime
import org.anvilshed.core.ingress.CallerLimits

/** Open connections of callers; closes those that are idle or stalled. Confined to the event loop. */
internal class CallerConnections(private val clock: MonotonicClock) {
    private class Usage(var idleSince: MonotonicTime, val guard: RequestHeadGuard) {
        var requests = 0
    }

    private val usages = HashMap<HttpConnection, Usage>()

    /** Number of open connections. */
    val count: Int
        get() = usages.size

    /** Registers a new connection and adds a [RequestHeadGuard] to it. */
    fun opened(connection: HttpConnection) {
        val guard = RequestHeadGuard(clock)
        val channel = (connection as ConnectionBase).channel()
        channel.pipeline().addFirst(guard)
        // Reads until the socket is empty, so that a close that follows a request is noticed in the same iteration of
        // the event loop, before the request is forwarded. By default it is noticed an iteration later, which can take
        // long on a busy VM.
        channel.config().setRecvByteBufAllocator(
            AdaptiveRecvByteBufAllocator().respectMaybeMoreData(false).maxMessagesPerRead(READS_PER_ITERATION),
        )
        usages[connection] = Usage(clock(), guard)
        connection.closeHandler { usages.remove(connection) }
    }

    /** Records that a request arrived on [connection]. */
    fun requestStarted(connection: HttpConnection) {
        usages[connection]?.let { it.requests++ }
    }

    /** Records that the response to a request on [connection] is complete. */
    fun requestEnded(connection: HttpConnection) {
        usages[connection]?.let {
            it.requests--
            it.idleSince = clock()
            it.guard.requestEnded()
        }
    }

    /** Closes connections that were idle, or had an incomplete request head, for longer than [limits] allow. */
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
        /** Bounds how long one connection can delay the others; the default of Netty. */
        const val READS_PER_ITERATION = 16
    }
}
