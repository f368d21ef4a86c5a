package org.anvilshed.gateway.targets

import io.netty.channel.ConnectTimeoutException
import io.vertx.core.Future
import io.vertx.core.VertxException
import io.vertx.core.http.HttpClientAgent
import io.vertx.core.http.HttpClientConnection
import io.vertx.core.http.HttpConnectOptions
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.withTimeoutOrNull
import org.anvilshed.core.MonotonicTime
import org.anvilshed.core.fleet.RegisteredTarget
import org.anvilshed.core.fleet.TargetKey
import org.anvilshed.gateway.DecisionLog
import org.anvilshed.gateway.MonotonicClock
import org.anvilshed.http.closeImmediately
import org.anvilshed.http.useStrictCodec
import java.io.IOException
import java.net.ConnectException
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Connection to a target, with the state that decides on its reuse. Confined to the event loop.
 *
 * @param number identifies the connection among all of this process.
 * @param onStrayBytes called with the first bytes outside a response, after which the connection is not used again.
 */
internal class TargetConnection(
    val connection: HttpClientConnection,
    private val number: Long,
    onStrayBytes: (String) -> Unit,
) {
    private val codec = connection.useStrictCodec(MAXIMUM_HEADER_BYTES, onStrayBytes)

    /** When the latest request on the connection ended. */
    var idleSince: MonotonicTime = MonotonicTime(0)

    /** Time without a request after which the connection is closed instead of reused. */
    var idleLimit: Duration = DEFAULT_IDLE_LIMIT

    /** Whether neither side has closed the connection. */
    var isOpen: Boolean = true

    /** Whether the connection is open and all that was received on it belonged to responses. */
    val isUsable: Boolean
        get() = isOpen && codec.isClean

    /** The first bytes outside a response as text; `null` if there are none. */
    val strayBytes: String?
        get() = codec.strayBytes

    private val requestIds = LinkedHashSet<String>()
    private var requestCount = 0

    /** Number of the connection and of its latest request, for the log. */
    val label: String
        get() = "$number/$requestCount"

    /** Records that the request [id] is sent on the connection. */
    fun recordRequest(id: String) {
        requestCount++
        requestIds.add(id)
        if (requestIds.size > REQUEST_ID_LIMIT) requestIds.remove(requestIds.first())
    }

    /** Returns whether a request [id] was sent on the connection recently, so that its response may arrive again. */
    fun hasCarried(id: String): Boolean = id in requestIds

    fun close() {
        isOpen = false
        connection.closeImmediately()
    }

    companion object {
        /** Used until the target states its keep-alive timeout; the default timeouts of targets are longer. */
        val DEFAULT_IDLE_LIMIT = 4.seconds

        /** A target that writes an earlier response once more does so within a few requests. */
        private const val REQUEST_ID_LIMIT = 32

        /** Longest header section of a response. */
        private const val MAXIMUM_HEADER_BYTES = 65_536
    }
}

/**
 * Pool of connections to all targets. Confined to the event loop.
 *
 * @param onRefused called with each target that refused a connection.
 * @param onStrayBytes called with a target and the first bytes that it wrote outside a response; their connection is
 *   closed.
 * @param onOpened called after each opened connection with the target and the time that opening took.
 */
internal class TargetConnectionPool(
    private val client: HttpClientAgent,
    private val log: DecisionLog,
    private val clock: MonotonicClock,
    private val onRefused: (RegisteredTarget) -> Unit = {},
    private val onStrayBytes: (RegisteredTarget, String) -> Unit = { _, _ -> },
    private val onOpened: (RegisteredTarget, Duration) -> Unit,
) {
    private val idleConnections = HashMap<TargetKey, ArrayDeque<TargetConnection>>()
    private val openCounts = HashMap<TargetKey, Int>()
    private val beingVerified = HashSet<TargetKey>()
    private var openedCount = 0L

    /**
     * Returns a pooled connection to [target] that was idle for less than [maximumIdleTime] and carried no request with
     * the identifier [requestId], or a new connection.
     *
     * If [limit] connections to the target are open already, one that was idle for longer is closed first. Returns
     * `null` if there is no such connection, or if no connection can be opened within [timeout].
     */
    suspend fun takeOrNull(
        target: RegisteredTarget,
        requestId: String,
        maximumIdleTime: Duration,
        limit: Int,
        timeout: Duration,
    ): TargetConnection? {
        takeIdleOrNull(target.key, requestId, maximumIdleTime)?.let { return it }
        if ((openCounts[target.key] ?: 0) >= limit) {
            val idle = idleConnections[target.key]?.removeFirstOrNull() ?: return null
            idle.close()
        }
        return openOrNull(target, timeout)
    }

    /** Returns [connection] to the pool after a request on it has ended. */
    fun release(target: TargetKey, connection: TargetConnection) {
        if (!connection.isOpen) return
        if (!connection.isUsable) return connection.close()
        connection.connection.exceptionHandler(null)
        connection.idleSince = clock()
        idleConnections.getOrPut(target) { ArrayDeque() }.addLast(connection)
    }

    /** Closes connections that are idle for longer than their limit, and idle connections to targets not in [known]. */
    fun closeUnused(known: Set<TargetKey>, now: MonotonicTime) {
        for ((key, connections) in idleConnections) {
            val expired = connections.filter { key !in known || now - it.idleSince >= it.idleLimit }
            connections.removeAll(expired)
            expired.forEach { it.close() }
        }
        idleConnections.values.removeIf { it.isEmpty() }
    }

    private fun takeIdleOrNull(key: TargetKey, requestId: String, maximumIdleTime: Duration): TargetConnection? {
        val connections = idleConnections[key] ?: return null
        val now = clock()
        // The most recently used connection is the least likely to have been closed by the target.
        while (connections.isNotEmpty()) {
            val candidate = connections.removeLast()
            val age = now - candidate.idleSince
            if (candidate.isUsable && age < candidate.idleLimit && !candidate.hasCarried(requestId)) {
                if (age < maximumIdleTime) return candidate
                connections.addLast(candidate)
                return null
            }
            if (candidate.isOpen) candidate.close()
        }
        return null
    }

    /**
     * Finds out whether [target] still accepts connections: opens one, adds it to the pool, and reports the outcome to
     * [onOpened] or [onRefused].
     */
    fun verify(target: RegisteredTarget, timeout: Duration) {
        if (!beingVerified.add(target.key)) return
        openCounts.merge(target.key, 1, Int::plus)
        val startedAt = clock()
        connect(target, timeout).onComplete { opened ->
            beingVerified.remove(target.key)
            if (opened.succeeded()) {
                release(target.key, register(target, opened.result(), startedAt))
            } else {
                decrementOpenCount(target.key)
                reportFailure(target, opened.cause())
            }
        }
    }

    /** Opens a connection; the result is failed if the client throws an exception. */
    @Suppress("TooGenericExceptionCaught")
    private fun connect(target: RegisteredTarget, timeout: Duration): Future<HttpClientConnection> = try {
        val options = HttpConnectOptions().setHost(target.address.host).setPort(target.address.port)
            .setConnectTimeout(timeout.inWholeMilliseconds)
        client.connect(options)
    } catch (fault: RuntimeException) {
        Future.failedFuture(fault)
    }

    private fun reportFailure(target: RegisteredTarget, cause: Throwable) {
        log.request("target-connect-failed", "target" to target.key.name, "cause" to cause)
        if (cause is ConnectException && cause !is ConnectTimeoutException) onRefused(target)
    }

    private suspend fun openOrNull(target: RegisteredTarget, timeout: Duration): TargetConnection? {
        val startedAt = clock()
        openCounts.merge(target.key, 1, Int::plus)
        val opening = connect(target, timeout)
        var opened: HttpClientConnection? = null
        try {
            opened = withTimeoutOrNull(timeout) { opening.coAwait() }
        } catch (failure: IOException) {
            reportFailure(target, failure)
        } catch (failure: VertxException) {
            log.request("target-connect-failed", "target" to target.key.name, "cause" to failure)
        } finally {
            // Also reached by cancellation; a connection that is established after that is closed at once.
            if (opened == null) {
                decrementOpenCount(target.key)
                opening.onSuccess { it.close() }
            }
        }
        return opened?.let { register(target, it, startedAt) }
    }

    /** Takes over [connection], which was counted as open; it is closed if that fails. */
    private fun register(
        target: RegisteredTarget,
        connection: HttpClientConnection,
        startedAt: MonotonicTime,
    ): TargetConnection {
        var registered: TargetConnection? = null
        try {
            onOpened(target, clock() - startedAt)
            val result = TargetConnection(connection, ++openedCount) { onStrayBytes(target, it) }
            connection.closeHandler {
                result.isOpen = false
                idleConnections[target.key]?.remove(result)
                decrementOpenCount(target.key)
            }
            registered = result
            return result
        } finally {
            if (registered == null) {
                decrementOpenCount(target.key)
                connection.closeImmediately()
            }
        }
    }

    private fun decrementOpenCount(key: TargetKey) {
        openCounts.computeIfPresent(key) { _, count -> if (count <= 1) null else count - 1 }
    }
}
