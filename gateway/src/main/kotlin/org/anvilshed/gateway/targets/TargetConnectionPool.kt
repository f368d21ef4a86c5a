package org.anvilshed.gateway.targets

import io.vertx.core.VertxException
import io.vertx.core.http.HttpClientAgent
import io.vertx.core.http.HttpClientConnection
import io.vertx.core.http.HttpConnectOptions
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.withTimeoutOrNull
import org.anvilshed.core.MonotonicTime
import org.anvilshed.core.fleet.FleetTarget
import org.anvilshed.core.fleet.TargetKey
import org.anvilshed.gateway.DecisionLog
import org.anvilshed.gateway.MonotonicClock
import java.io.IOException
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Connection to a target with what is known of its use. */
internal class TargetConnection(val connection: HttpClientConnection) {
    var idleSince: MonotonicTime = MonotonicTime(0)
    var idleLimit: Duration = DEFAULT_IDLE_LIMIT
    var isOpen: Boolean = true

    fun close() {
        isOpen = false
        connection.close()
    }

    companion object {
        /** Used until the target states its own timeout; targets keep connections longer than this by default. */
        val DEFAULT_IDLE_LIMIT = 4.seconds
    }
}

/**
 * Kept connections to all targets. Used by the event loop alone.
 *
 * @param opened called with the time that it took to open a connection.
 */
internal class TargetConnectionPool(
    private val client: HttpClientAgent,
    private val log: DecisionLog,
    private val clock: MonotonicClock,
    private val opened: (FleetTarget, Duration) -> Unit,
) {
    private val idle = HashMap<TargetKey, ArrayDeque<TargetConnection>>()
    private val open = HashMap<TargetKey, Int>()

    /**
     * Returns a kept connection that was idle for less than [freshness], or a new one.
     *
     * Returns `null` if none can be opened within [timeout] or [limit] connections are open.
     */
    suspend fun takeOrNull(
        target: FleetTarget,
        maximumIdleTime: Duration,
        limit: Int,
        timeout: Duration,
    ): TargetConnection? {
        takeIdleOrNull(target.key, maximumIdleTime)?.let { return it }
        if ((open[target.key] ?: 0) >= limit) {
            // A connection that idled for longer than wished is better than none.
            return takeIdleOrNull(target.key, Duration.INFINITE)
        }
        return openOrNull(target, timeout)
    }

    fun release(target: TargetKey, connection: TargetConnection) {
        if (!connection.isOpen) return
        connection.idleSince = clock()
        idle.getOrPut(target) { ArrayDeque() }.addLast(connection)
    }

    /** Closes connections that idled too long, and those to targets that are not in [known]. */
    fun closeUnused(known: Set<TargetKey>, now: MonotonicTime) {
        for ((key, connections) in idle) {
            val ended = connections.filter { key !in known || now - it.idleSince >= it.idleLimit }
            connections.removeAll(ended)
            ended.forEach { it.close() }
        }
        idle.values.removeIf { it.isEmpty() }
    }

    private fun takeIdleOrNull(key: TargetKey, maximumIdleTime: Duration): TargetConnection? {
        val connections = idle[key] ?: return null
        val now = clock()
        // The connection that was used last is the least likely to have been closed or forgotten by the target.
        while (connections.isNotEmpty()) {
            val candidate = connections.removeLast()
            val age = now - candidate.idleSince
            if (candidate.isOpen && age < candidate.idleLimit) {
                if (age < maximumIdleTime) return candidate
                connections.addLast(candidate)
                return null
            }
            if (candidate.isOpen) candidate.close()
        }
        return null
    }

    private suspend fun openOrNull(target: FleetTarget, timeout: Duration): TargetConnection? {
        open.merge(target.key, 1, Int::plus)
        val startedAt = clock()
        val options = HttpConnectOptions().setHost(target.address.host).setPort(target.address.port)
            .setConnectTimeout(timeout.inWholeMilliseconds)
        val opening = client.connect(options)
        var connection: HttpClientConnection? = null
        try {
            connection = withTimeoutOrNull(timeout) { opening.coAwait() }
        } catch (failure: IOException) {
            log.request("target-connect-failed", "target" to target.key.name, "cause" to failure)
        } catch (failure: VertxException) {
            log.request("target-connect-failed", "target" to target.key.name, "cause" to failure)
        } finally {
            // Also if the caller left meanwhile: a connection that opens later is of no use.
            if (connection == null) {
                forget(target.key)
                opening.onSuccess { it.close() }
            }
        }
        if (connection == null) return null
        opened(target, clock() - startedAt)
        val result = TargetConnection(connection)
        connection.closeHandler {
            result.isOpen = false
            idle[target.key]?.remove(result)
            forget(target.key)
        }
        return result
    }

    private fun forget(key: TargetKey) {
        open.computeIfPresent(key) { _, count -> if (count <= 1) null else count - 1 }
    }
}
