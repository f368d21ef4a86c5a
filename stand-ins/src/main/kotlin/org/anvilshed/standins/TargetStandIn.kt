package org.anvilshed.standins

import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpConnection
import io.vertx.core.http.HttpServerOptions
import io.vertx.core.http.HttpServerRequest
import io.vertx.core.json.JsonObject
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.serialization.json.Json
import java.util.concurrent.ConcurrentMap
import kotlin.random.Random

private const val DEFAULT_WORK_MS = 5L
private const val MAXIMUM_HEALTH_REPORTS = 2_000
private const val MAXIMUM_RESPONSE_BYTES = 64L * 1024 * 1024
private const val SHED_STATUS = 503
private const val EXPIRED_STATUS = 504

/**
 * Stand-in of one target (design section 6): a number of slots and a queue of requests that wait for a slot.
 *
 * A request sets its service time and response size in the headers `Work-Ms` and `Response-Bytes` or in the parameters
 * `work_ms` and `response_bytes`. The response begins with one JSON line that repeats the `Correlation` header of the
 * request, so that a caller can detect a response to another request or an incomplete one. Not thread-safe: all methods
 * must run on the same event loop.
 *
 * @param executions number of executions by `Request-Id`, shared by all targets.
 */
internal class TargetStandIn(
    private val vertx: Vertx,
    private val spec: TargetSpec,
    private val executions: ConcurrentMap<String, Int>,
) {
    private class PendingRequest(val request: HttpServerRequest, val bodyBytes: Long, val milliseconds: Long) {
        var timer: Long? = null
        var deadlineTimer: Long? = null
        var isRunning = false
        var isPresent = true
    }

    private val queue = ArrayDeque<PendingRequest>()
    private val connections = HashSet<HttpConnection>()
    private val connectionsWithoutRequest = HashSet<HttpConnection>()
    private val healthReports = ArrayDeque<Pair<Long, HealthReport>>()
    private var control = TargetControl(slots = spec.slots)
    private var random = Random(0)
    private var coldUntil = 0L
    private var coldRequests = 0
    private var inFlight = 0
    private var peak = 0
    private var peakConnections = 0
    private var started = 0L
    private var completed = 0L
    private var cancelled = 0L
    private var expired = 0L
    private var shed = 0L
    private var lastArrival: Long? = null

    var port: Int = 0
        private set

    /** Starts the server. */
    suspend fun start() {
        val options = HttpServerOptions().setTcpNoDelay(true)
        val server = vertx.createHttpServer(options)
        server.connectionHandler { connection ->
            connections += connection
            connectionsWithoutRequest += connection
            peakConnections = maxOf(peakConnections, connections.size)
            connection.closeHandler {
                connections -= connection
                connectionsWithoutRequest -= connection
            }
        }
        server.requestHandler(::accept)
        port = server.listen(spec.port, spec.host).coAwait().actualPort()
    }

    /** Applies [change] to the settings. */
    fun change(change: TargetControl) {
        change.seed?.let { random = Random(it) }
        change.coldMs?.let { coldUntil = now() + it }
        change.coldRequests?.let { coldRequests = it }
        if (change.resetPeak == true) peak = inFlight + queue.size
        control = withChange(control, change.copy(targets = null))
    }

    /** Returns the present counters. */
    fun counters(): TargetCounters = TargetCounters(
        name = spec.name,
        port = port,
        slots = slots(),
        inFlight = inFlight,
        queued = queue.size,
        peak = peak,
        started = started,
        completed = completed,
        cancelled = cancelled,
        expired = expired,
        shed = shed,
        connections = connections.size,
        peakConnections = peakConnections,
        lastArrivalMsAgo = lastArrival?.let { now() - it } ?: -1,
    )

    private fun now(): Long = System.nanoTime() / 1_000_000

    private fun slots(): Int = control.slots ?: spec.slots

    private fun accept(request: HttpServerRequest) {
        if (request.path() == "/health") {
            answerHealth(request)
            return
        }
        val newConnection = takeConnectionCost(request.connection())
        var bodyBytes = 0L
        request.handler { bodyBytes += it.length() }
        request.endHandler {
            if (shouldShed()) {
                refuse(request)
            } else {
                admit(PendingRequest(request, bodyBytes, workMilliseconds(request) + newConnection))
            }
        }
    }

    private fun takeConnectionCost(connection: HttpConnection): Long {
        val cost = control.connectionMs ?: 0
        return if (connectionsWithoutRequest.remove(connection)) cost else 0
    }

    private fun requestedNumber(request: HttpServerRequest, header: String, parameter: String): Long? {
        val text: String? = request.getHeader(header)
        return (text ?: request.getParam(parameter, "")).toLongOrNull()
    }

    private fun workMilliseconds(request: HttpServerRequest): Long {
        val base = requestedNumber(request, "Work-Ms", "work_ms") ?: control.workMs ?: DEFAULT_WORK_MS
        val cold = coldRequests > 0 || now() < coldUntil
        if (coldRequests > 0) coldRequests--
        return if (cold) (base * (control.coldFactor ?: 1.0)).toLong() else base
    }

    private fun shouldShed(): Boolean {
        val above = control.shedAbove ?: -1
        return control.draining == true ||
            (above >= 0 && inFlight + queue.size >= slots() + above) ||
            random.nextDouble() < (control.shedProbability ?: 0.0)
    }

    private fun refuse(request: HttpServerRequest) {
        shed++
        val response = request.response().setStatusCode(SHED_STATUS).putHeader("Not-Run", "true")
        if (control.draining == true) response.putHeader("Draining", "true")
        response.end()
    }

    private fun admit(pending: PendingRequest) {
        lastArrival = now()
        val response = pending.request.response()
        // The close handler runs if the connection is closed before the response has ended, which cancels the request.
        response.closeHandler { if (remove(pending)) cancelled++ }
        val remaining: String? = pending.request.getHeader("Deadline-Ms")
        pending.deadlineTimer =
            remaining?.toLongOrNull()?.let { vertx.setTimer(it.coerceAtLeast(1)) { expire(pending) } }
        queue.addLast(pending)
        peak = maxOf(peak, inFlight + queue.size)
        startNext()
    }

    private fun startNext() {
        while (inFlight < slots()) {
            val pending = queue.removeFirstOrNull() ?: return
            pending.isRunning = true
            inFlight++
            started++
            val identifier: String? = pending.request.getHeader("Request-Id")
            if (identifier != null) executions.merge(identifier, 1, Int::plus)
            if (pending.milliseconds <= 0) {
                complete(pending)
            } else {
                pending.timer = vertx.setTimer(pending.milliseconds) { complete(pending) }
            }
        }
    }

    private fun complete(pending: PendingRequest) {
        if (!remove(pending)) return
        completed++
        val request = pending.request
        val identifier: String? = request.getHeader("Request-Id")
        val line = JsonObject()
            .put("target", spec.name)
            .put("correlation", request.getHeader("Correlation"))
            .put("path", request.path())
            .put("body_bytes", pending.bodyBytes)
            .put("execution", identifier?.let { executions[it] } ?: 0)
        val body = Buffer.buffer(line.encode() + "\n")
        val size = requestedNumber(request, "Response-Bytes", "response_bytes") ?: 0
        val padding = size.coerceAtMost(MAXIMUM_RESPONSE_BYTES).toInt() - body.length()
        if (padding > 0) body.appendBytes(ByteArray(padding) { 'x'.code.toByte() })
        request.response().putHeader("Content-Type", "application/octet-stream").end(body)
        startNext()
    }

    private fun expire(pending: PendingRequest) {
        if (!remove(pending)) return
        expired++
        pending.request.response().setStatusCode(EXPIRED_STATUS).putHeader("Deadline-Passed", "true").end()
    }

    /** Removes [pending] from its slot or from the queue; returns `false` if it had been removed before. */
    private fun remove(pending: PendingRequest): Boolean {
        if (!pending.isPresent) return false
        pending.isPresent = false
        pending.timer?.let(vertx::cancelTimer)
        pending.deadlineTimer?.let(vertx::cancelTimer)
        if (pending.isRunning) inFlight-- else queue.remove(pending)
        if (pending.isRunning) vertx.runOnContext { startNext() }
        return true
    }

    private fun answerHealth(request: HttpServerRequest) {
        val time = now()
        val state = when {
            control.draining == true -> "draining"
            coldRequests > 0 || time < coldUntil -> "cold"
            else -> "ready"
        }
        healthReports.addLast(time to HealthReport(state, slots(), inFlight, queue.size, 0))
        if (healthReports.size > MAXIMUM_HEALTH_REPORTS) healthReports.removeFirst()
        if (control.healthSilent == true) return
        val lag = control.healthLagMs ?: 0
        val (takenAt, actual) = healthReports.lastOrNull { it.first <= time - lag } ?: healthReports.first()
        val reported = actual.copy(
            state = control.healthState?.takeIf { it.isNotEmpty() } ?: actual.state,
            slots = control.healthSlots?.takeIf { it >= 0 } ?: actual.slots,
            inFlight = control.healthInFlight?.takeIf { it >= 0 } ?: actual.inFlight,
            ageMs = time - takenAt,
        )
        request.response().putHeader("Content-Type", "application/json")
            .end(Json.encodeToString(HealthReport.serializer(), reported))
    }
}
