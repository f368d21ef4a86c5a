package org.anvilshed.gateway.requests

import io.vertx.core.MultiMap
import io.vertx.core.http.HttpHeaders
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.withTimeoutOrNull
import org.anvilshed.core.MonotonicTime
import org.anvilshed.core.ServiceName
import org.anvilshed.core.fleet.RegisteredTarget
import org.anvilshed.core.placement.Placement
import org.anvilshed.core.placement.PlacementRequest
import org.anvilshed.core.placement.TargetOutcome
import org.anvilshed.gateway.Clock
import org.anvilshed.gateway.DecisionLog
import org.anvilshed.gateway.EventLoopTurns
import org.anvilshed.gateway.GatewayMetrics
import org.anvilshed.gateway.RequestHeaders
import org.anvilshed.gateway.targets.ExchangeResult
import org.anvilshed.gateway.targets.TargetConnection
import org.anvilshed.gateway.targets.TargetConnections
import org.anvilshed.gateway.targets.TargetExchange
import org.anvilshed.gateway.targets.TargetRequest
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Caller's request on its way to targets. Used by the event loop alone. */
internal class DispatchedRequest(
    var placement: PlacementRequest,
    val service: ServiceName,
    val maximumAttempts: Int,
    val target: TargetRequest,
) {
    /** Targets to which the request was written. */
    var sends = 0

    /** Whether the request may be running or have run at a target. */
    var mayHaveRun = false
    var lastTarget: String? = null
    var lastZone: String? = null
    var placementReason: String? = null
    var sentAt: MonotonicTime? = null

    /** Whether a target has the request and did not answer yet. */
    var isAtTarget = false

    /** Whether the caller left, so that the request must not be sent to another target. */
    var isCallerGone = false
}

/** Sends requests to targets, and again where that is safe, allowed and of use. */
internal class RequestDispatcher(
    private val lanes: (ServiceName) -> ServiceLane?,
    private val connections: TargetConnections,
    private val names: RequestHeaders,
    private val log: DecisionLog,
    private val metrics: GatewayMetrics,
    private val clock: Clock,
    private val turns: EventLoopTurns,
    private val members: () -> Int,
    private val connectionLimit: (ServiceName) -> Int,
    private val connectTimeout: (RegisteredTarget) -> Duration,
) {
    /** Serves [request] and returns its final answer. */
    suspend fun dispatch(request: DispatchedRequest): Reply {
        val lane =
            lanes(request.service) ?: return Reply.NotRun(SERVICE_UNAVAILABLE, "no-target", UNKNOWN_SERVICE_RETRY)
        lane.retries.recordRequest(clock())
        var failure: Reply? = null
        var connectFailures = 0
        while (true) {
            val placement = place(lane, request)
            if (placement is Placement.Refuse) return failure ?: refuse(placement)
            val send = placement as Placement.Send
            when (val attempt = attempt(lane, request, send)) {
                is AttemptResult.Final -> return attempt.reply

                is AttemptResult.Repeatable -> {
                    if (!mayRepeat(lane, request, attempt.reason)) return attempt.reply
                    failure = attempt.reply
                }

                AttemptResult.NotSent ->
                    if (++connectFailures >= CONNECT_FAILURES_LIMIT) return failure ?: notRun("target-unreachable")
            }
            exclude(request, send)
        }
    }

    /** Whether [request] may be sent to one more target after a failure; if so, takes the repeat from the budget. */
    private fun mayRepeat(lane: ServiceLane, request: DispatchedRequest, reason: String): Boolean {
        if (request.isCallerGone || request.sends >= request.maximumAttempts) return false
        if (request.mayHaveRun && !request.placement.workloadClass.idempotent) return false
        if (!lane.retries.tryRetry(members(), clock())) {
            metrics.countRetry("budget-exhausted")
            return false
        }
        metrics.countRetry(reason)
        log.request("retry", "id" to request.target.id, "target" to request.lastTarget, "reason" to reason)
        return true
    }

    private fun exclude(request: DispatchedRequest, send: Placement.Send) {
        request.placement = request.placement.copy(excluded = request.placement.excluded + send.target.key)
    }

    private suspend fun place(lane: ServiceLane, request: DispatchedRequest): Placement {
        val placement = lane.pool.offer(request.placement, clock())
        return if (placement is Placement.Wait) lane.await(placement.ticket) else placement
    }

    private fun refuse(placement: Placement.Refuse): Reply =
        Reply.NotRun(SERVICE_UNAVAILABLE, placement.reason.label, placement.retryAfter)

    private fun notRun(reason: String): Reply = Reply.NotRun(SERVICE_UNAVAILABLE, reason, UNKNOWN_SERVICE_RETRY)

    private sealed interface AttemptResult {
        class Final(val reply: Reply) : AttemptResult
        class Repeatable(val reply: Reply, val reason: String) : AttemptResult
        data object NotSent : AttemptResult
    }

    private suspend fun attempt(lane: ServiceLane, request: DispatchedRequest, send: Placement.Send): AttemptResult {
        var end: TargetOutcome = TargetOutcome.Cancelled
        try {
            turns.readSocketsIfLate()
            val idempotent = request.placement.workloadClass.idempotent
            val freshness = if (idempotent) Duration.INFINITE else NON_IDEMPOTENT_FRESHNESS
            val limit = connectionLimit(request.service)
            val connection = connections.takeOrNull(send.target, freshness, limit, connectTimeout(send.target))
            if (connection == null) {
                end = TargetOutcome.Unreachable
                log.request("target-unreachable", "id" to request.target.id, "target" to send.target.key.name)
                return AttemptResult.NotSent
            }
            // Opening a connection takes time in which the target may have left.
            if (!lane.pool.mayReceive(send.target)) {
                connections.release(send.target.key, connection)
                return AttemptResult.NotSent
            }
            val (result, reason) = exchange(lane, request, send, connection)
            end = reason
            return result
        } finally {
            lane.pool.finish(send.inFlight, end, clock())
            lane.pump()
        }
    }

    private suspend fun exchange(
        lane: ServiceLane,
        request: DispatchedRequest,
        send: Placement.Send,
        connection: TargetConnection,
    ): Pair<AttemptResult, TargetOutcome> {
        request.sends++
        request.lastTarget = send.target.key.name
        request.lastZone = send.target.zone.value
        request.placementReason = send.inFlight.reason
        request.sentAt = clock()
        val formerMayHaveRun = request.mayHaveRun
        request.mayHaveRun = true
        request.isAtTarget = true
        val exchange = TargetExchange(connection, withTargetHeaders(request, send), names)
        val result = try {
            awaitResult(lane, request, send, exchange)
        } catch (cancelled: CancellationException) {
            // Closing the connection makes the target drop the request.
            connection.close()
            throw cancelled
        } finally {
            request.isAtTarget = false
        }
        if (result == null) {
            connection.close()
            return AttemptResult.Repeatable(Reply.Failed(GATEWAY_TIMEOUT, "target-silent"), "target-silent") to
                TargetOutcome.Broken
        }
        if (result !is ExchangeResult.Large) releaseOrClose(send, exchange, connection)
        return when (result) {
            is ExchangeResult.Complete -> completed(result)

            is ExchangeResult.Large -> {
                AttemptResult.Final(Reply.Streamed(result)) to TargetOutcome.Answered(failed = false, report = null)
            }

            is ExchangeResult.NotRun -> {
                request.mayHaveRun = formerMayHaveRun
                metrics.countTargetFailure("not-run")
                val end = if (result.status ==
                    TargetExchange.MISDIRECTED
                ) {
                    TargetOutcome.Misdirected
                } else {
                    TargetOutcome.Shed(result.report)
                }
                AttemptResult.Repeatable(afterNotRun(request), "not-run") to end
            }

            is ExchangeResult.Broken -> {
                metrics.countTargetFailure("broken")
                log.request(
                    "target-broken",
                    "id" to request.target.id,
                    "target" to send.target.key.name,
                    "cause" to result.cause,
                )
                AttemptResult.Repeatable(Reply.Failed(BAD_GATEWAY, "target-broken"), "target-broken") to
                    TargetOutcome.Broken
            }
        }
    }

    /** A request that a target did not run may still have run at an earlier one. */
    private fun afterNotRun(request: DispatchedRequest): Reply = if (request.mayHaveRun) {
        Reply.Failed(
            BAD_GATEWAY,
            "target-broken",
        )
    } else {
        Reply.NotRun(SERVICE_UNAVAILABLE, "target-full", FULL_RETRY)
    }

    private fun completed(result: ExchangeResult.Complete): Pair<AttemptResult, TargetOutcome> {
        val failed = result.status >= SERVER_ERROR
        val reply = Reply.FromTarget(result)
        val attempt = if (failed) AttemptResult.Repeatable(reply, "target-failed") else AttemptResult.Final(reply)
        if (failed) metrics.countTargetFailure("failed")
        return attempt to TargetOutcome.Answered(failed, result.report)
    }

    /** Returns `null` if the target is silent for so long that the request should be sent to another one. */
    private suspend fun awaitResult(
        lane: ServiceLane,
        request: DispatchedRequest,
        send: Placement.Send,
        exchange: TargetExchange,
    ): ExchangeResult? {
        val patience = lane.pool.answerTimeout(send.inFlight)
        val left = request.placement.deadline - clock()
        val canRepeat = request.placement.workloadClass.idempotent &&
            request.sends < request.maximumAttempts &&
            left > patience + send.inFlight.expectedTime
        return if (canRepeat) withTimeoutOrNull(patience) { exchange.run() } else exchange.run()
    }

    private fun releaseOrClose(send: Placement.Send, exchange: TargetExchange, connection: TargetConnection) {
        if (exchange.isConnectionReusable) connections.release(send.target.key, connection) else connection.close()
    }

    private fun withTargetHeaders(request: DispatchedRequest, send: Placement.Send): TargetRequest {
        val headers: MultiMap = HttpHeaders.headers().addAll(request.target.headers)
        val left = (request.placement.deadline - clock()).inWholeMilliseconds.coerceAtLeast(1)
        headers.set(names.deadlineMillis, left.toString())
        headers.set(names.expectedTarget, send.target.key.name)
        return TargetRequest(request.target.id, request.target.method, request.target.uri, headers, request.target.body)
    }

    private companion object {
        const val SERVER_ERROR = 500
        const val BAD_GATEWAY = 502
        const val SERVICE_UNAVAILABLE = 503
        const val GATEWAY_TIMEOUT = 504
        const val CONNECT_FAILURES_LIMIT = 3

        /** A request that must not run twice can't be sent again if the target closed an idle connection meanwhile. */
        val NON_IDEMPOTENT_FRESHNESS = 1.seconds
        val FULL_RETRY = 150.milliseconds
        val UNKNOWN_SERVICE_RETRY = 300.milliseconds
    }
}
