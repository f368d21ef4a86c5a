package org.anvilshed.gateway.requests

import io.vertx.core.http.HttpServerRequest
import io.vertx.core.http.HttpServerResponse
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.Job
import kotlinx.coroutines.launch
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
import org.anvilshed.gateway.MonotonicClock
import org.anvilshed.gateway.RequestHeaderNames
import org.anvilshed.gateway.targets.TargetRequest
import java.util.Locale
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Serves the requests of callers: finds the route, forwards the request to a target through [forwarder] and writes the
 * final response. Confined to the event loop.
 *
 * @param isLeaving whether this VM is shutting down; responses then close the caller's connection.
 */
internal class CallerRequestHandler(
    private val scope: CoroutineScope,
    private val state: IngressState,
    private val forwarder: RequestForwarder,
    private val headerNames: RequestHeaderNames,
    private val log: DecisionLog,
    private val metrics: GatewayMetrics,
    private val clock: MonotonicClock,
    private val isLeaving: () -> Boolean,
) {
    private val usualDeadlines = HashMap<WorkloadClass, TimeLimitEstimator>()

    /** Number of requests in progress. */
    var activeCount = 0
        private set

    /** Serves [request]; must be called in the event loop iteration in which the request arrived. */
    fun handle(request: HttpServerRequest) {
        val arrivedAt = clock()
        activeCount++
        val exchange = CallerExchange(request, arrivedAt)
        val job = scope.launch(start = CoroutineStart.LAZY) { serve(exchange) }
        job.invokeOnCompletion { activeCount-- }
        request.response().closeHandler { cancelAfterDisconnect(exchange, job) }
        request.response().exceptionHandler { cancelAfterDisconnect(exchange, job) }
        job.start()
    }

    private inner class CallerExchange(val request: HttpServerRequest, val arrivedAt: MonotonicTime) {
        val id: String? = request.getHeader(headerNames.requestId)
        val active: ActiveConfig? = state.currentOrNull
        val route: IngressRoute? = active?.routes?.findOrNull(
            request.getHeader("Host").orEmpty(),
            request.path().orEmpty(),
        )

        // Handlers for the body must be set in the event loop iteration of the request; the coroutine may start later.
        val body = readBody(request, active?.config?.callerLimits?.maximumBodyBytes ?: 0L)
        var forwarded: ForwardedRequest? = null
    }

    private fun cancelAfterDisconnect(exchange: CallerExchange, job: Job) {
        if (!job.isActive) return
        val forwarded = exchange.forwarded
        // A non-idempotent request that a target already has is allowed to complete there.
        if (exchange.route?.idempotent == false && forwarded?.isAtTarget == true) {
            forwarded.hasCallerLeft = true
            return
        }
        metrics.countReply("cancelled")
        log.request(
            "caller-left",
            "id" to exchange.id,
            "waited_ms" to (clock() - exchange.arrivedAt).inWholeMilliseconds,
        )
        job.cancel()
    }

    private suspend fun serve(exchange: CallerExchange) {
        // Lets a connection close that was read together with the request be handled first, which cancels the job.
        yield()
        val reply = replyTo(exchange)
        writeReply(exchange, reply)
    }

    private suspend fun replyTo(exchange: CallerExchange): Reply {
        val active = exchange.active ?: return Reply.NotRun(SERVICE_UNAVAILABLE, "no-config", DEFAULT_RETRY_AFTER)
        val route = exchange.route ?: return Reply.Failed(NOT_FOUND, "no-route")
        headErrorOrNull(exchange, active)?.let { return it }
        val callerLimit = exchange.request.getHeader(headerNames.deadlineMillis)?.toLong()?.milliseconds
        val timeout = minOf(callerLimit ?: route.timeout, route.timeout)
        val body = withTimeoutOrNull(timeout) { exchange.body.await() }
        if (body !is BodyResult.Read) return bodyError(body)
        val forwarded = forwardedRequest(exchange, active, route, callerLimit, body)
        exchange.forwarded = forwarded
        val remaining = exchange.arrivedAt + timeout - clock()
        return withTimeoutOrNull(remaining) { forwarder.forward(forwarded) } ?: timedOut(forwarded)
    }

    private fun headErrorOrNull(exchange: CallerExchange, active: ActiveConfig): Reply? {
        val deadline: String? = exchange.request.getHeader(headerNames.deadlineMillis)
        val isDeadlineValid = deadline == null || deadline.toLongOrNull()?.let { it >= 0 } == true
        return when {
            exchange.id == null -> Reply.Failed(BAD_REQUEST, "no-request-id")

            headerBytes(exchange.request) > active.config.callerLimits.maximumHeaderBytes ->
                Reply.Failed(HEADERS_TOO_LARGE, "headers-too-large")

            !isDeadlineValid -> Reply.Failed(BAD_REQUEST, "bad-deadline")

            else -> null
        }
    }

    /** Reply to a request without a usable [body]; `null` means that the body did not arrive in time. */
    private fun bodyError(body: BodyResult?): Reply = when (body) {
        null -> Reply.NotRun(REQUEST_TIMEOUT, "body-late", null)
        BodyResult.TooLong -> Reply.Failed(BODY_TOO_LARGE, "body-too-large")
        else -> Reply.Failed(BAD_REQUEST, "body-broken")
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
                affinityKey = if (route.sticky) request.getHeader(headerNames.affinityKey) else null,
                homeRegions = route.homeRegions,
            ),
            service = active.rotation(route.name).next(),
            maximumAttempts = route.maximumAttempts,
            target = TargetRequest(
                id = exchange.id.orEmpty(),
                method = request.method(),
                uri = request.uri(),
                headers = endToEndHeaders(request.headers()),
                body = body.body,
            ),
        )
    }

    /** Time that the caller already spent on earlier attempts, estimated from a deadline that is shorter than usual. */
    private fun timeSinceFirstAttempt(workloadClass: WorkloadClass, callerLimit: Duration?): Duration {
        if (callerLimit == null) return Duration.ZERO
        return usualDeadlines.getOrPut(workloadClass) { TimeLimitEstimator() }.observe(callerLimit)
    }

    private fun timedOut(request: ForwardedRequest): Reply = if (request.mayHaveRun) {
        Reply.Failed(GATEWAY_TIMEOUT, "target-late")
    } else {
        Reply.NotRun(SERVICE_UNAVAILABLE, "no-slot-in-time", DEFAULT_RETRY_AFTER)
    }

    private suspend fun writeReply(exchange: CallerExchange, reply: Reply) {
        val response = exchange.request.response()
        val waited = clock() - exchange.arrivedAt
        logReply(exchange, reply, waited)
        if (response.closed() || response.ended()) return
        if (isLeaving()) response.putHeader("Connection", "close")
        when (reply) {
            is Reply.FromTarget -> {
                response.setStatusCode(reply.result.status)
                response.headers().addAll(endToEndHeaders(reply.result.headers))
                response.end(reply.result.body)
            }

            is Reply.Streamed -> streamBody(exchange, reply, response)

            is Reply.NotRun -> {
                reply.retryAfter?.let { response.putHeader("Retry-After", jitteredRetryAfter(it)) }
                writeError(exchange, response, reply.status, reply.reason)
            }

            is Reply.Failed -> writeError(exchange, response, reply.status, reply.reason)
        }
    }

    private fun writeError(exchange: CallerExchange, response: HttpServerResponse, status: Int, reason: String) {
        exchange.id?.let { response.putHeader(headerNames.requestId, it) }
        // On a connection that stays open, the unread rest of the body would be parsed as the next request.
        if (!exchange.body.isCompleted || status == BODY_TOO_LARGE) response.putHeader("Connection", "close")
        response.putHeader("Content-Type", "application/json")
        response.setStatusCode(status).end("{\"error\":\"$reason\"}")
    }

    private suspend fun streamBody(exchange: CallerExchange, reply: Reply.Streamed, response: HttpServerResponse) {
        val source = reply.result.response
        response.setStatusCode(source.statusCode())
        response.headers().addAll(endToEndHeaders(source.headers()))
        val length = source.getHeader("Content-Length")
        if (length != null) response.putHeader("Content-Length", length) else response.setChunked(true)
        response.write(reply.result.head)
        source.handler { chunk ->
            response.write(chunk)
            if (response.writeQueueFull()) {
                source.pause()
                response.drainHandler { source.resume() }
            }
        }
        source.resume()
        if (reply.result.ended.await()) {
            response.end()
        } else {
            // Closes the caller's connection, so that the caller sees that the response is incomplete.
            exchange.request.connection().close()
        }
    }

    private fun logReply(exchange: CallerExchange, reply: Reply, waited: Duration) {
        val (status, reason) = when (reply) {
            is Reply.FromTarget -> reply.result.status to "answered"
            is Reply.Streamed -> reply.result.response.statusCode() to "streamed"
            is Reply.NotRun -> reply.status to reply.reason
            is Reply.Failed -> reply.status to reply.reason
        }
        metrics.countReply(reason)
        metrics.observeLatency(waited)
        log.request(
            "reply",
            "id" to exchange.id,
            "route" to exchange.route?.name,
            "config" to exchange.active?.config?.version,
            "service" to exchange.forwarded?.service?.value,
            "target" to exchange.forwarded?.lastTarget,
            "zone" to exchange.forwarded?.lastZone,
            "placement" to exchange.forwarded?.placementReason,
            "sent_after_ms" to exchange.forwarded?.sentAt?.let { (it - exchange.arrivedAt).inWholeMilliseconds },
            "object" to exchange.request.getHeader(headerNames.affinityKey),
            "sends" to exchange.forwarded?.sendCount,
            "status" to status,
            "reason" to reason,
            "waited_ms" to waited.inWholeMilliseconds,
            "retry_after_ms" to (reply as? Reply.NotRun)?.retryAfter?.inWholeMilliseconds,
        )
    }

    /** Returns seconds with random jitter added, so that callers that are refused together do not retry together. */
    private fun jitteredRetryAfter(duration: Duration): String {
        val jittered = duration * Random.nextDouble(1.0, RETRY_JITTER_FACTOR)
        return String.format(Locale.ROOT, "%.3f", jittered.inWholeMilliseconds / MILLISECONDS_PER_SECOND)
    }

    private fun headerBytes(request: HttpServerRequest): Int =
        request.headers().sumOf { it.key.length + it.value.length + HEADER_SEPARATOR_BYTES } + request.uri().length

    private companion object {
        const val BAD_REQUEST = 400
        const val NOT_FOUND = 404
        const val REQUEST_TIMEOUT = 408
        const val BODY_TOO_LARGE = 413
        const val HEADERS_TOO_LARGE = 431
        const val SERVICE_UNAVAILABLE = 503
        const val GATEWAY_TIMEOUT = 504

        /** Bytes for colon, space and line end of a header line. */
        const val HEADER_SEPARATOR_BYTES = 4
        const val RETRY_JITTER_FACTOR = 1.5
        const val MILLISECONDS_PER_SECOND = 1000.0

        /** A VM that has just started receives its config within about this time. */
        val DEFAULT_RETRY_AFTER = 200.milliseconds
    }
}
