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
import org.anvilshed.gateway.Clock
import org.anvilshed.gateway.DecisionLog
import org.anvilshed.gateway.GatewayMetrics
import org.anvilshed.gateway.IngressState
import org.anvilshed.gateway.RequestHeaders
import org.anvilshed.gateway.targets.TargetRequest
import java.util.Locale
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Serves the requests of callers: finds the route, has the request sent to targets and writes the final answer.
 *
 * @param isLeaving whether this VM is shutting down, so that callers are told to use another connection.
 */
internal class RequestHandler(
    private val scope: CoroutineScope,
    private val state: IngressState,
    private val dispatcher: RequestDispatcher,
    private val names: RequestHeaders,
    private val log: DecisionLog,
    private val metrics: GatewayMetrics,
    private val clock: Clock,
    private val isLeaving: () -> Boolean,
) {
    private val usualDeadlines = HashMap<WorkloadClass, TimeLimitEstimator>()

    /** Requests whose answers are not complete. */
    var activeCount = 0
        private set

    /** Serves [request]; must be called in the turn of the event loop in which it arrived. */
    fun handle(request: HttpServerRequest) {
        val arrivedAt = clock()
        activeCount++
        val exchange = CallerExchange(request, arrivedAt)
        val job = scope.launch(start = CoroutineStart.LAZY) { serve(exchange) }
        job.invokeOnCompletion { activeCount-- }
        request.response().closeHandler { callerLeft(exchange, job) }
        request.response().exceptionHandler { callerLeft(exchange, job) }
        job.start()
    }

    private inner class CallerExchange(val request: HttpServerRequest, val arrivedAt: MonotonicTime) {
        val id: String? = request.getHeader(names.requestId)
        val active: ActiveConfig? = state.currentOrNull
        val route: IngressRoute? = active?.routes?.findOrNull(
            request.getHeader("Host").orEmpty(),
            request.path().orEmpty(),
        )

        // The body has to be read from the turn on in which the request arrived; the coroutine may start later.
        val body = readBody(request, active?.config?.callerLimits?.maximumBodyBytes ?: 0L)
        var flight: DispatchedRequest? = null
    }

    private fun callerLeft(exchange: CallerExchange, job: Job) {
        if (!job.isActive) return
        val flight = exchange.flight
        // A request that must not run twice and is at a target is left to end there.
        if (exchange.route?.idempotent == false && flight?.isAtTarget == true) {
            flight.isCallerGone = true
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
        // A close that was read together with the request is handled first, and cancels it.
        yield()
        val reply = decide(exchange)
        finish(exchange, reply)
    }

    private suspend fun decide(exchange: CallerExchange): Reply {
        val active = exchange.active ?: return Reply.NotRun(SERVICE_UNAVAILABLE, "no-config", NO_CONFIG_RETRY)
        val route = exchange.route ?: return Reply.Failed(NOT_FOUND, "no-route")
        headFaultOrNull(exchange, active)?.let { return it }
        val callerLimit = exchange.request.getHeader(names.deadlineMillis)?.toLong()?.milliseconds
        val patience = minOf(callerLimit ?: route.timeout, route.timeout)
        val body = withTimeoutOrNull(patience) { exchange.body.await() }
        if (body !is BodyResult.Read) return bodyFault(body)
        val dispatched = dispatchedRequest(exchange, active, route, callerLimit, body)
        exchange.flight = dispatched
        val left = exchange.arrivedAt + patience - clock()
        return withTimeoutOrNull(left) { dispatcher.dispatch(dispatched) } ?: timedOut(dispatched)
    }

    private fun headFaultOrNull(exchange: CallerExchange, active: ActiveConfig): Reply? {
        val deadline: String? = exchange.request.getHeader(names.deadlineMillis)
        val isDeadlineValid = deadline == null || deadline.toLongOrNull()?.let { it >= 0 } == true
        return when {
            exchange.id == null -> Reply.Failed(BAD_REQUEST, "no-request-id")

            headerBytes(exchange.request) > active.config.callerLimits.maximumHeaderBytes ->
                Reply.Failed(HEADERS_TOO_LARGE, "headers-too-large")

            !isDeadlineValid -> Reply.Failed(BAD_REQUEST, "bad-deadline")

            else -> null
        }
    }

    /** Reply to a request whose body is [body], which is `null` if it did not arrive in time. */
    private fun bodyFault(body: BodyResult?): Reply = when (body) {
        null -> Reply.NotRun(REQUEST_TIMEOUT, "body-late", null)
        BodyResult.TooLong -> Reply.Failed(BODY_TOO_LARGE, "body-too-large")
        else -> Reply.Failed(BAD_REQUEST, "body-broken")
    }

    private fun dispatchedRequest(
        exchange: CallerExchange,
        active: ActiveConfig,
        route: IngressRoute,
        callerLimit: Duration?,
        body: BodyResult.Read,
    ): DispatchedRequest {
        val request = exchange.request
        val workloadClass = WorkloadClass(route)
        return DispatchedRequest(
            placement = PlacementRequest(
                workloadClass = workloadClass,
                startedAt = exchange.arrivedAt - startedBefore(workloadClass, callerLimit),
                deadline = exchange.arrivedAt + minOf(callerLimit ?: route.timeout, route.timeout),
                affinityKey = if (route.sticky) request.getHeader(names.affinityKey) else null,
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

    private fun startedBefore(workloadClass: WorkloadClass, callerLimit: Duration?): Duration {
        if (callerLimit == null) return Duration.ZERO
        return usualDeadlines.getOrPut(workloadClass) { TimeLimitEstimator() }.observe(callerLimit)
    }

    private fun timedOut(request: DispatchedRequest): Reply = if (request.mayHaveRun) {
        Reply.Failed(GATEWAY_TIMEOUT, "target-late")
    } else {
        Reply.NotRun(SERVICE_UNAVAILABLE, "no-slot-in-time", NO_CONFIG_RETRY)
    }

    private suspend fun finish(exchange: CallerExchange, reply: Reply) {
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

            is Reply.Streamed -> stream(exchange, reply, response)

            is Reply.NotRun -> {
                reply.retryAfter?.let { response.putHeader("Retry-After", retryAfterText(it)) }
                fail(exchange, response, reply.status, reply.reason)
            }

            is Reply.Failed -> fail(exchange, response, reply.status, reply.reason)
        }
    }

    private fun fail(exchange: CallerExchange, response: HttpServerResponse, status: Int, reason: String) {
        exchange.id?.let { response.putHeader(names.requestId, it) }
        // The rest of an unread body must not be taken for the next request.
        if (!exchange.body.isCompleted || status == BODY_TOO_LARGE) response.putHeader("Connection", "close")
        response.putHeader("Content-Type", "application/json")
        response.setStatusCode(status).end("{\"error\":\"$reason\"}")
    }

    private suspend fun stream(exchange: CallerExchange, reply: Reply.Streamed, response: HttpServerResponse) {
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
            // An answer that broke off must not look complete.
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
            "service" to exchange.flight?.service?.value,
            "target" to exchange.flight?.lastTarget,
            "zone" to exchange.flight?.lastZone,
            "placement" to exchange.flight?.placementReason,
            "sent_after_ms" to exchange.flight?.sentAt?.let { (it - exchange.arrivedAt).inWholeMilliseconds },
            "object" to exchange.request.getHeader(names.affinityKey),
            "sends" to exchange.flight?.sends,
            "status" to status,
            "reason" to reason,
            "waited_ms" to waited.inWholeMilliseconds,
            "retry_after_ms" to (reply as? Reply.NotRun)?.retryAfter?.inWholeMilliseconds,
        )
    }

    /** Spreads the return of callers that are refused together. */
    private fun retryAfterText(duration: Duration): String {
        val spread = duration * Random.nextDouble(1.0, RETRY_SPREAD)
        return String.format(Locale.ROOT, "%.3f", spread.inWholeMilliseconds / MILLISECONDS_PER_SECOND)
    }

    private fun headerBytes(request: HttpServerRequest): Int =
        request.headers().sumOf { it.key.length + it.value.length + HEADER_PUNCTUATION } + request.uri().length

    private companion object {
        const val BAD_REQUEST = 400
        const val NOT_FOUND = 404
        const val REQUEST_TIMEOUT = 408
        const val BODY_TOO_LARGE = 413
        const val HEADERS_TOO_LARGE = 431
        const val SERVICE_UNAVAILABLE = 503
        const val GATEWAY_TIMEOUT = 504

        /** Colon, space and line end of a header line. */
        const val HEADER_PUNCTUATION = 4
        const val RETRY_SPREAD = 1.5
        const val MILLISECONDS_PER_SECOND = 1000.0

        /** A VM that just started knows its config within about this time. */
        val NO_CONFIG_RETRY = 200.milliseconds
    }
}
