package org.anvilshed.gateway.requests

import io.netty.handler.codec.TooLongFrameException
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpHeaders
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.Job
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.coroutines.yield
import org.anvilshed.core.MonotonicTime
import org.anvilshed.core.ingress.IngressRoute
import org.anvilshed.core.placement.PlacementRequest
import org.anvilshed.core.placement.TimeLimitEstimator
import org.anvilshed.core.placement.WorkloadClass
import org.anvilshed.gateway.ActiveConfig
import org.anvilshed.gateway.DecisionLog
import org.anvilshed.gateway.GatewayMetrics
import org.anvilshed.gateway.IngressState
import org.anvilshed.gateway.MemoryBudget
import org.anvilshed.gateway.MonotonicClock
import org.anvilshed.gateway.RequestHeaderNames
import org.anvilshed.gateway.callers.BodyResult
import org.anvilshed.gateway.callers.CallerRequest
import org.anvilshed.gateway.callers.RefusedText
import org.anvilshed.gateway.callers.RequestEnd
import org.anvilshed.gateway.callers.ResponseHead
import org.anvilshed.gateway.callers.ResponseStream
import org.anvilshed.gateway.targets.ExchangeResult
import org.anvilshed.gateway.targets.TargetRequest
import java.util.Locale
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Serves the requests of callers: finds the route, forwards the request to a target through [forwarder] and writes the
 * final response. Confined to the event loop.
 */
internal class CallerRequestHandler(
    private val scope: CoroutineScope,
    private val state: IngressState,
    private val forwarder: RequestForwarder,
    private val headerNames: RequestHeaderNames,
    private val log: DecisionLog,
    private val metrics: GatewayMetrics,
    private val clock: MonotonicClock,
) {
    private val responseMemoryBudget = MemoryBudget(RESPONSE_MEMORY_BYTES)
    private val active = HashMap<CallerExchange, Job>()
    private val usualDeadlines = HashMap<WorkloadClass, TimeLimitEstimator>()

    /** Number of requests in progress. */
    val activeCount: Int
        get() = active.size

    /** Serves [request]; must be called in the event loop iteration in which the request arrived. */
    fun handle(request: CallerRequest): Unit = launch(request) { replyTo(it) }

    /** Refuses [request] because this VM shuts down. */
    fun refuseLeaving(request: CallerRequest): Unit = launch(request) { Reply.leaving() }

    /** Ends the requests that have no response yet with one of this VM, which says whether they may have run. */
    fun endUnanswered() {
        for ((exchange, job) in active.toList()) {
            // A response may wait for those to earlier requests of its connection.
            if (exchange.hasReply) continue
            exchange.endsWithStop = true
            job.cancel()
        }
    }

    private fun launch(request: CallerRequest, decide: suspend (CallerExchange) -> Reply) {
        val exchange = CallerExchange(request)
        val job = scope.launch(start = CoroutineStart.LAZY) {
            // Lets a connection close that was read together with the request be handled first, which cancels the job.
            yield()
            serve(exchange, decide)
        }
        active[exchange] = job
        job.invokeOnCompletion {
            active.remove(exchange)
            request.releaseBody()
            exchange.responseMemory.release()
        }
        request.onAborted = { end -> cancel(exchange, job, end) }
        job.start()
    }

    @Suppress("TooGenericExceptionCaught")
    private suspend fun serve(exchange: CallerExchange, decide: suspend (CallerExchange) -> Reply) {
        try {
            val reply = try {
                decide(exchange)
            } catch (cancelled: CancellationException) {
                if (!exchange.endsWithStop) throw cancelled
                null
            }
            exchange.hasReply = true
            if (reply != null) writeReply(exchange, reply) else writeLastReply(exchange)
        } catch (cancelled: CancellationException) {
            // Cancellation of anything else than this request is as unexpected as any other exception.
            currentCoroutineContext().ensureActive()
            replyAfterFault(exchange, cancelled)
        } catch (fault: Throwable) {
            if (exchange.endsWithStop) {
                withContext(NonCancellable) { replyAfterFault(exchange, fault) }
            } else {
                replyAfterFault(exchange, fault)
            }
        }
    }

    /** Ends a request after an unexpected [fault] with a response, or with its connection if that fails too. */
    @Suppress("TooGenericExceptionCaught")
    private suspend fun replyAfterFault(exchange: CallerExchange, fault: Throwable) {
        recordFault(exchange, fault)
        exchange.hasReply = true
        try {
            writeReply(exchange, faultReply(exchange.forwarded))
        } catch (further: Throwable) {
            recordFault(exchange, further)
            exchange.request.awaitTurn()
            exchange.request.abandon()
        }
    }

    private fun recordFault(exchange: CallerExchange, fault: Throwable) {
        metrics.countUnexpectedFault()
        log.warning(
            "request-failed",
            "id" to exchange.id,
            "target" to exchange.forwarded?.lastTarget,
            "cause" to fault.stackTraceToString(),
        )
    }

    private fun faultReply(request: ForwardedRequest?): Reply {
        request?.streamedStatus?.let { return Reply.Streamed(it, isComplete = false) }
        return if (request?.mayHaveRun == true) {
            Reply.Failed(INTERNAL_SERVER_ERROR, INTERNAL_FAULT)
        } else {
            Reply.NotRun(SERVICE_UNAVAILABLE, INTERNAL_FAULT, DEFAULT_RETRY_AFTER)
        }
    }

    private inner class CallerExchange(val request: CallerRequest) {
        val arrivedAt: MonotonicTime = request.arrivedAt
        val id: String? = request.header(headerNames.requestId)
        val active: ActiveConfig? = state.currentOrNull
        val route: IngressRoute? = active?.routes?.findOrNull(request.header("Host").orEmpty(), request.path)
        val responseMemory = responseMemoryBudget.newReservation()

        /** Time limit as the caller stated it; `null` if it stated none. */
        val statedTimeLimit: String? = request.header(headerNames.deadlineMillis)

        /** The stated time limit; `null` if it is unreadable, or none was stated. */
        val timeLimit: Duration? = statedTimeLimit?.let(::parseTimeLimitOrNull)

        /** What was refused of a request that gets a 4xx status of this VM, for the log. */
        var refused: String? = null
        var forwarded: ForwardedRequest? = null

        /** Whether it is decided what the caller gets. */
        var hasReply = false

        /** Whether this VM stops before the response of the target has arrived. */
        var endsWithStop = false
    }

    private fun cancel(exchange: CallerExchange, job: Job, end: RequestEnd) {
        if (!job.isActive) return
        val forwarded = exchange.forwarded
        log.request(
            end.label,
            "id" to exchange.id,
            "at_target" to (forwarded?.isAtTarget == true),
            "target" to forwarded?.lastTarget,
            "waited_ms" to (clock() - exchange.arrivedAt).inWholeMilliseconds,
        )
        // A non-idempotent request that a target already has is allowed to complete there.
        if (exchange.route?.idempotent == false && forwarded?.isAtTarget == true) {
            forwarded.hasCallerLeft = true
            return
        }
        metrics.countReply("cancelled")
        job.cancel()
    }

    private suspend fun replyTo(exchange: CallerExchange): Reply {
        exchange.request.fault?.let { return invalidHead(exchange, it) }
        val active = exchange.active ?: return Reply.NotRun(SERVICE_UNAVAILABLE, "no-config", DEFAULT_RETRY_AFTER)
        val route = exchange.route ?: return noRoute(exchange)
        headErrorOrNull(exchange, active)?.let { return it }
        val callerLimit = exchange.timeLimit
        val timeout = minOf(callerLimit ?: route.timeout, route.timeout)
        val body = withTimeoutOrNull(timeout) { exchange.request.body.await() }
        if (body !is BodyResult.Read) return bodyError(exchange, body)
        val forwarded = forwardedRequest(exchange, active, route, callerLimit, body)
        exchange.forwarded = forwarded
        val remaining = exchange.arrivedAt + timeout - clock()
        return withTimeoutOrNull(remaining) {
            // The response to an earlier request may close the connection, and the caller then sends this one again.
            if (!route.idempotent) exchange.request.awaitTurn()
            forwarder.forward(forwarded)
        } ?: timedOut(forwarded)
    }

    private fun invalidHead(exchange: CallerExchange, fault: Throwable): Reply {
        exchange.refused = exchange.request.faultSample
        return if (fault is TooLongFrameException) {
            Reply.Failed(HEADERS_TOO_LARGE, "headers-too-large")
        } else {
            Reply.Failed(BAD_REQUEST, "malformed-head")
        }
    }

    private fun noRoute(exchange: CallerExchange): Reply {
        val request = exchange.request
        exchange.refused = RefusedText.sample("${request.header("Host")} ${request.path}")
        return Reply.Failed(NOT_FOUND, "no-route")
    }

    private fun headErrorOrNull(exchange: CallerExchange, active: ActiveConfig): Reply? {
        val headers = exchange.request.headers
        return when {
            exchange.id == null -> {
                exchange.refused = RefusedText.sample(headers.names().joinToString(","))
                Reply.Failed(BAD_REQUEST, "no-request-id")
            }

            headerBytes(exchange.request) > active.config.callerLimits.maximumHeaderBytes -> {
                val longest = headers.maxByOrNull { it.value.length }
                exchange.refused = RefusedText.sample(
                    "${headerBytes(exchange.request)} bytes, target ${exchange.request.uri.length}, " +
                        "${headers.size()} fields, ${longest?.value?.length} in ${longest?.key}",
                )
                Reply.Failed(HEADERS_TOO_LARGE, "headers-too-large")
            }

            exchange.statedTimeLimit != null && exchange.timeLimit == null -> {
                exchange.refused = RefusedText.sample(exchange.statedTimeLimit)
                Reply.Failed(BAD_REQUEST, "bad-deadline")
            }

            else -> null
        }
    }

    /** Reply to a request without a usable [body]; `null` means that the body did not arrive in time. */
    private fun bodyError(exchange: CallerExchange, body: BodyResult?): Reply = when (body) {
        null -> Reply.NotRun(REQUEST_TIMEOUT, "body-late", null)

        BodyResult.TooLong -> {
            exchange.refused = RefusedText.sample("Content-Length ${exchange.request.header("Content-Length")}")
            Reply.Failed(BODY_TOO_LARGE, "body-too-large")
        }

        BodyResult.NoMemory -> Reply.NotRun(SERVICE_UNAVAILABLE, "no-body-memory", DEFAULT_RETRY_AFTER)

        else -> {
            exchange.refused = exchange.request.faultSample
            Reply.Failed(BAD_REQUEST, "body-broken")
        }
    }

    private fun forwardedRequest(
        exchange: CallerExchange,
        active: ActiveConfig,
        route: IngressRoute,
        callerLimit: Duration?,
        body: BodyResult.Read,
    ): ForwardedRequest {
        val request = exchange.request
        val workloadClass = WorkloadClass(route)
        return ForwardedRequest(
            placement = PlacementRequest(
                workloadClass = workloadClass,
                startedAt = exchange.arrivedAt - timeSinceFirstAttempt(workloadClass, callerLimit),
                deadline = exchange.arrivedAt + minOf(callerLimit ?: route.timeout, route.timeout),
                affinityKey = if (route.sticky) request.header(headerNames.affinityKey) else null,
                homeRegions = route.homeRegions,
            ),
            service = active.rotation(route.name).next(),
            maximumAttempts = route.maximumAttempts,
            target = TargetRequest(
                id = exchange.id.orEmpty(),
                method = request.method,
                uri = request.uri,
                headers = endToEndHeaders(request.headers),
                body = body.body,
            ),
            responseMemory = exchange.responseMemory,
            deliverStream = { streamBody(exchange, it) },
        )
    }

    /** Time that the caller already spent on earlier attempts, estimated from a deadline that is shorter than usual. */
    private fun timeSinceFirstAttempt(workloadClass: WorkloadClass, callerLimit: Duration?): Duration {
        if (callerLimit == null) return Duration.ZERO
        return usualDeadlines.getOrPut(workloadClass) { TimeLimitEstimator() }.observe(callerLimit)
    }

    private fun timedOut(request: ForwardedRequest): Reply {
        request.streamedStatus?.let { return Reply.Streamed(it, isComplete = false) }
        return if (request.mayHaveRun) {
            Reply.Failed(GATEWAY_TIMEOUT, "target-late")
        } else {
            Reply.NotRun(SERVICE_UNAVAILABLE, "no-slot-in-time", DEFAULT_RETRY_AFTER)
        }
    }

    private suspend fun writeLastReply(exchange: CallerExchange) = withContext(NonCancellable) {
        writeReply(exchange, exchange.forwarded?.takeIf { it.mayHaveRun }?.let(::timedOut) ?: Reply.leaving())
    }

    private suspend fun writeReply(exchange: CallerExchange, reply: Reply) {
        logReply(exchange, reply, clock() - exchange.arrivedAt)
        val isDelivered = when (reply) {
            is Reply.FromTarget -> {
                val headers = reply.result.headers
                val length: String? = headers.get(HttpHeaders.CONTENT_LENGTH)
                val head = ResponseHead(reply.result.status, endToEndHeaders(headers), length)
                exchange.request.respond(head, reply.result.body)
            }

            // The body was written while the request was forwarded.
            is Reply.Streamed -> true

            is Reply.NotRun -> writeError(exchange, reply.status, reply.reason, reply.retryAfter)

            is Reply.Failed -> writeError(exchange, reply.status, reply.reason, null)
        }
        if (!isDelivered) log.request("response-not-delivered", "id" to exchange.id)
    }

    private suspend fun writeError(
        exchange: CallerExchange,
        status: Int,
        reason: String,
        retryAfter: Duration?,
    ): Boolean {
        val headers = HttpHeaders.headers()
        exchange.id?.let { headers.add(headerNames.requestId, it) }
        retryAfter?.let { headers.add("Retry-After", jitteredRetryAfter(it)) }
        headers.add("Content-Type", "application/json")
        // The decoder finds no further request behind a malformed head.
        val closes = status == BODY_TOO_LARGE || exchange.request.fault != null
        val head = ResponseHead(status, headers, closesConnection = closes)
        return exchange.request.respond(head, Buffer.buffer("{\"error\":\"$reason\"}"))
    }

    /**
     * Writes a large response to the caller as fast as the caller reads it; returns whether it was complete.
     *
     * If the target ends the response early, or this is cancelled, the caller sees that the response is incomplete.
     */
    private suspend fun streamBody(exchange: CallerExchange, result: ExchangeResult.Large): Boolean {
        val source = result.response
        val length = source.getHeader(HttpHeaders.CONTENT_LENGTH)
        val stream = exchange.request.startStream(
            ResponseHead(source.statusCode(), endToEndHeaders(source.headers()), length),
        )
        exchange.forwarded?.streamedStatus = source.statusCode()
        var isComplete = false
        try {
            result.head.forEach(stream::write)
            source.handler { chunk -> writeChunk(stream, chunk, result) }
            source.resume()
            isComplete = result.ended.await()
        } finally {
            if (isComplete) stream.end() else stream.abort()
        }
        return isComplete
    }

    @Suppress("TooGenericExceptionCaught")
    private fun writeChunk(stream: ResponseStream, chunk: Buffer, result: ExchangeResult.Large) {
        try {
            stream.write(chunk)
            if (stream.isFull) {
                result.response.pause()
                stream.onDrained { result.response.resume() }
            }
        } catch (fault: Throwable) {
            // Without this chunk, the rest of the body must not complete the response.
            result.ended.completeExceptionally(fault)
        }
    }

    private fun logReply(exchange: CallerExchange, reply: Reply, waited: Duration) {
        val (status, reason) = when (reply) {
            is Reply.FromTarget -> reply.result.status to "answered"
            is Reply.Streamed -> reply.status to if (reply.isComplete) "streamed" else "stream-incomplete"
            is Reply.NotRun -> reply.status to reply.reason
            is Reply.Failed -> reply.status to reply.reason
        }
        metrics.countReply(reason)
        if (status in CLIENT_ERRORS && reply !is Reply.FromTarget && reply !is Reply.Streamed) {
            metrics.countOwnClientError(status, reason)
        }
        metrics.observeLatency(waited)
        log.request(
            "reply",
            "id" to exchange.id,
            "route" to exchange.route?.name,
            "config" to exchange.active?.config?.version,
            "service" to exchange.forwarded?.service?.value,
            "target" to exchange.forwarded?.lastTarget,
            "zone" to exchange.forwarded?.lastZone,
            "connection" to exchange.forwarded?.lastConnection,
            "status_line" to exchange.forwarded?.lastStatusLine,
            "placement" to exchange.forwarded?.placementReason,
            "sent_after_ms" to exchange.forwarded?.sentAt?.let { (it - exchange.arrivedAt).inWholeMilliseconds },
            "object" to exchange.request.header(headerNames.affinityKey),
            "sends" to exchange.forwarded?.sendCount,
            "status" to status,
            "reason" to reason,
            "refused" to exchange.refused,
            "waited_ms" to waited.inWholeMilliseconds,
            "retry_after_ms" to (reply as? Reply.NotRun)?.retryAfter?.inWholeMilliseconds,
        )
    }

    /** Returns seconds with random jitter added, so that callers that are refused together do not retry together. */
    private fun jitteredRetryAfter(duration: Duration): String {
        val jittered = duration * Random.nextDouble(1.0, RETRY_JITTER_FACTOR)
        return String.format(Locale.ROOT, "%.3f", jittered.inWholeMilliseconds / MILLISECONDS_PER_SECOND)
    }

    private fun headerBytes(request: CallerRequest): Int =
        request.headers.sumOf { it.key.length + it.value.length + HEADER_SEPARATOR_BYTES } + request.uri.length

    private companion object {
        const val BAD_REQUEST = 400
        val CLIENT_ERRORS = 400..499
        const val NOT_FOUND = 404
        const val REQUEST_TIMEOUT = 408
        const val BODY_TOO_LARGE = 413
        const val HEADERS_TOO_LARGE = 431
        const val INTERNAL_SERVER_ERROR = 500
        const val SERVICE_UNAVAILABLE = 503
        const val GATEWAY_TIMEOUT = 504
        const val INTERNAL_FAULT = "internal-fault"

        /** Memory for responses that are held whole; further responses are streamed. A sixth of the heap. */
        const val RESPONSE_MEMORY_BYTES = 32L * 1024 * 1024

        /** Fewest bytes of a header line besides its name and value: the colon and the line end. */
        const val HEADER_SEPARATOR_BYTES = 3
        const val RETRY_JITTER_FACTOR = 1.5
        const val MILLISECONDS_PER_SECOND = 1000.0

        /** A VM that has just started receives its config within about this time. */
        val DEFAULT_RETRY_AFTER = 200.milliseconds
    }
}
