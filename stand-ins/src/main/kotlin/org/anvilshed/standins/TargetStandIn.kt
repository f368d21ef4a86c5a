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
private const val HEALTH_HISTORY = 2_000
private const val LARGEST_RESPONSE_BYTES = 64L * 1024 * 1024
private const val BUSY_STATUS = 503
private const val EXPIRED_STATUS = 504

/**
 * Stand-in of one target (design section 6): a number of slots with a queue behind them.
 *
 * A request asks for its service time and answer size by the headers `Work-Ms` and `Response-Bytes` or the parameters
 * `work_ms` and `response_bytes`. The answer begins with one JSON line that repeats the request's `Correlation` header,
 * so that a caller can check that the answer is its own and whole. All methods run on one event loop.
 */
internal class TargetStandIn(
    private val vertx: Vertx,
    private val spec: TargetSpec,
    private val executions: ConcurrentMap<String, Int>,
) {
    private class Work(val request: HttpServerRequest, val bodyBytes: Long, val milliseconds: Long) {
        var timer: Long? = null
        var deadlineTimer: Long? = null
        var working = false
        var present = true
    }

    private val queue = ArrayDeque<Work>()
    private val connections = HashSet<HttpConnection>()
    private val unused = HashSet<HttpConnection>()
    private val healthHistory = ArrayDeque<Pair<Long, TargetHealth>>()
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

    /** Starts to serve. */
    suspend fun start() {
        val options = HttpServerOptions().setTcpNoDelay(true)
        val server = vertx.createHttpServer(options)
        server.connectionHandler { connection ->
            connections += connection
            unused += connection
            peakConnections = maxOf(peakConnections, connections.size)
            connection.closeHandler {
                connections -= connection
                unused -= connection
            }
        }
        server.requestHandler(::accept)
        port = server.listen(spec.port, spec.host).coAwait().actualPort()
    }

    /** Applies [change] to the switches. */
    fun change(change: TargetControl) {
        change.seed?.let { random = Random(it) }
        change.coldMs?.let { coldUntil = now() + it }
        change.coldRequests?.let { coldRequests = it }
        if (change.resetPeak == true) peak = inFlight + queue.size
        control = withChange(control, change.copy(targets = null))
    }

    /** Returns the counters as they are now. */
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
            if (isShed()) {
                refuse(request)
            } else {
                admit(Work(request, bodyBytes, workMilliseconds(request) + newConnection))
            }
        }
    }

    private fun takeConnectionCost(connection: HttpConnection): Long {
        val cost = control.connectionMs ?: 0
        return if (unused.remove(connection)) cost else 0
    }

    private fun askedNumber(request: HttpServerRequest, header: String, parameter: String): Long? {
        val text: String? = request.getHeader(header)
        return (text ?: request.getParam(parameter, "")).toLongOrNull()
    }

    private fun workMilliseconds(request: HttpServerRequest): Long {
        val base = askedNumber(request, "Work-Ms", "work_ms") ?: control.workMs ?: DEFAULT_WORK_MS
        val cold = coldRequests > 0 || now() < coldUntil
        if (coldRequests > 0) coldRequests--
        return if (cold) (base * (control.coldFactor ?: 1.0)).toLong() else base
    }

    private fun isShed(): Boolean {
        val above = control.shedAbove ?: -1
        return control.draining == true ||
            (above >= 0 && inFlight + queue.size >= slots() + above) ||
            random.nextDouble() < (control.shedProbability ?: 0.0)
    }

    private fun refuse(request: HttpServerRequest) {
        shed++
        val response = request.response().setStatusCode(BUSY_STATUS).putHeader("Not-Run", "true")
        if (control.draining == true) response.putHeader("Draining", "true")
        response.end()
    }

    private fun admit(work: Work) {
        lastArrival = now()
        val response = work.request.response()
        // The close handler runs when the connection ends before the response did: the request is cancelled.
        response.closeHandler { if (remove(work)) cancelled++ }
        val remaining: String? = work.request.getHeader("Deadline-Ms")
        work.deadlineTimer = remaining?.toLongOrNull()?.let { vertx.setTimer(it.coerceAtLeast(1)) { expire(work) } }
        queue.addLast(work)
        peak = maxOf(peak, inFlight + queue.size)
        startNext()
    }

    private fun startNext() {
        while (inFlight < slots()) {
            val work = queue.removeFirstOrNull() ?: return
            work.working = true
            inFlight++
            started++
            val identifier: String? = work.request.getHeader("Request-Id")
            if (identifier != null) executions.merge(identifier, 1, Int::plus)
            if (work.milliseconds <= 0) {
                complete(work)
            } else {
                work.timer = vertx.setTimer(work.milliseconds) { complete(work) }
            }
        }
    }

    private fun complete(work: Work) {
        if (!remove(work)) return
        completed++
        val request = work.request
        val identifier: String? = request.getHeader("Request-Id")
        val line = JsonObject()
            .put("target", spec.name)
            .put("correlation", request.getHeader("Correlation"))
            .put("path", request.path())
            .put("body_bytes", work.bodyBytes)
            .put("execution", identifier?.let { executions[it] } ?: 0)
        val body = Buffer.buffer(line.encode() + "\n")
        val size = askedNumber(request, "Response-Bytes", "response_bytes") ?: 0
        val padding = size.coerceAtMost(LARGEST_RESPONSE_BYTES).toInt() - body.length()
        if (padding > 0) body.appendBytes(ByteArray(padding) { 'x'.code.toByte() })
        request.response().putHeader("Content-Type", "application/octet-stream").end(body)
        startNext()
    }

    private fun expire(work: Work) {
        if (!remove(work)) return
        expired++
        work.request.response().setStatusCode(EXPIRED_STATUS).putHeader("Deadline-Passed", "true").end()
    }

    /** Takes [work] out of slots or queue; returns whether it was still there. */
    private fun remove(work: Work): Boolean {
        if (!work.present) return false
        work.present = false
        work.timer?.let(vertx::cancelTimer)
        work.deadlineTimer?.let(vertx::cancelTimer)
        if (work.working) inFlight-- else queue.remove(work)
        if (work.working) vertx.runOnContext { startNext() }
        return true
    }

    private fun answerHealth(request: HttpServerRequest) {
        val time = now()
        val state = when {
            control.draining == true -> "draining"
            coldRequests > 0 || time < coldUntil -> "cold"
            else -> "ready"
        }
        healthHistory.addLast(time to TargetHealth(state, slots(), inFlight, queue.size, 0))
        if (healthHistory.size > HEALTH_HISTORY) healthHistory.removeFirst()
        if (control.healthSilent == true) return
        val lag = control.healthLagMs ?: 0
        val (takenAt, actual) = healthHistory.lastOrNull { it.first <= time - lag } ?: healthHistory.first()
        val reported = actual.copy(
            state = control.healthState?.takeIf { it.isNotEmpty() } ?: actual.state,
            slots = control.healthSlots?.takeIf { it >= 0 } ?: actual.slots,
            inFlight = control.healthInFlight?.takeIf { it >= 0 } ?: actual.inFlight,
            ageMs = time - takenAt,
        )
        request.response().putHeader("Content-Type", "application/json")
            .end(Json.encodeToString(TargetHealth.serializer(), reported))
    }
}
