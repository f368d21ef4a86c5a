package org.anvilshed.gateway.requests

import io.vertx.core.MultiMap
import io.vertx.core.http.HttpHeaders
import kotlinx.coroutines.withTimeoutOrNull
import org.anvilshed.core.MonotonicTime
import org.anvilshed.core.ServiceName
import org.anvilshed.core.fleet.CrashSuspicions
import org.anvilshed.core.fleet.RegisteredTarget
import org.anvilshed.core.lifecycle.StopDeadline
import org.anvilshed.core.placement.Placement
import org.anvilshed.core.placement.PlacementRequest
import org.anvilshed.core.placement.RateLimitStatement
import org.anvilshed.core.placement.TargetOutcome
import org.anvilshed.gateway.DecisionLog
import org.anvilshed.gateway.EventLoopMonitor
import org.anvilshed.gateway.GatewayMetrics
import org.anvilshed.gateway.MemoryBudget
import org.anvilshed.gateway.MonotonicClock
import org.anvilshed.gateway.RequestHeaderNames
import org.anvilshed.gateway.targets.ExchangeResult
import org.anvilshed.gateway.targets.TargetConnection
import org.anvilshed.gateway.targets.TargetConnectionPool
import org.anvilshed.gateway.targets.TargetExchange
import org.anvilshed.gateway.targets.TargetRequest
import org.anvilshed.gateway.targets.targetNameFieldOrNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Caller's request while it is forwarded to targets. Confined to the event loop.
 *
 * @property placement what the choice of a target depends on; excludes the targets that were tried already.
 * @property maximumAttempts number of targets that may get the request.
 * @property target request as targets get it, without the headers that depend on the attempt.
 * @property responseMemory memory for responses that are held whole.
 * @property deliverStream forwards a large response to the caller while it arrives; returns whether it was complete.
 */
internal class ForwardedRequest(
    var placement: PlacementRequest,
    val service: ServiceName,
    val maximumAttempts: Int,
    val target: TargetRequest,
    val responseMemory: MemoryBudget.Reservation,
    val deliverStream: suspend (ExchangeResult.Large) -> Boolean,
) {
    private var cachedFingerprint: Long? = null

    /** Number of targets to which the request was sent. */
    var sendCount = 0

    /** Whether a target may be running the request or have run it. */
    var mayHaveRun = false

    /** Name of the target that got the latest attempt. */
    var lastTarget: String? = null

    /** Zone of that target. */
    var lastZone: String? = null

    /** Connection of the latest attempt and number of the request on it, for the log. */
    var lastConnection: String? = null

    /** Status line of the latest response of a target without its version, for the log. */
    var lastStatusLine: String? = null

    /** Why that target was chosen, for the log. */
    var placementReason: String? = null

    /** When the latest attempt was sent. */
    var sentAt: MonotonicTime? = null

    /** Whether the request was sent to a target that has not responded yet. */
    var isAtTarget = false

    /** Status of the target's response of which the caller already got a part; `null` if there is none. */
    var streamedStatus: Int? = null

    /** Whether the caller disconnected, so that the request must not be sent to another target. */
    var hasCallerLeft = false

    /** Returns the fingerprint of the request, see [TargetRequest.fingerprint]. */
    fun fingerprint(headerNames: RequestHeaderNames): Long =
        cachedFingerprint ?: target.fingerprint(headerNames).also { cachedFingerprint = it }
}

/**
 * Sends requests to targets, and retries a failed request at another target where that is safe and the retry budget of
 * the service allows it. Confined to the event loop.
 *
 * @param crashes finds requests that crash targets, which are refused.
 * @param onTargetLeaving called with a target whose response says that it shuts down.
 * @param members number of VMs that share the retry budgets.
 * @param connectionLimit most connections of this VM to one target of a service.
 * @param stopDeadline end of this VM, or `null` unless it shuts down.
 * @param connectTimeout time limit for opening a connection to a target.
 */
internal class RequestForwarder(
    private val queues: (ServiceName) -> ServiceQueue?,
    private val connections: TargetConnectionPool,
    private val headerNames: RequestHeaderNames,
    private val log: DecisionLog,
    private val metrics: GatewayMetrics,
    private val clock: MonotonicClock,
    private val eventLoopMonitor: EventLoopMonitor,
    private val crashes: CrashSuspicions,
    private val onTargetLeaving: (RegisteredTarget) -> Unit,
    private val members: () -> Int,
    private val connectionLimit: (ServiceName) -> Int,
    private val connectTimeout: (RegisteredTarget) -> Duration,
    private val stopDeadline: () -> StopDeadline?,
) {
    /** Forwards [request] and returns the final reply to its caller. */
    suspend fun forward(request: ForwardedRequest): Reply {
        val queue =
            queues(request.service) ?: return Reply.NotRun(SERVICE_UNAVAILABLE, "no-target", NO_TARGET_RETRY_AFTER)
        queue.retries.recordRequest(clock())
        var lastFailure: Reply? = null
        var connectFailures = 0
        while (true) {
            unsentReplyOrNull(queue, request, lastFailure)?.let { return it }
            val placement = place(queue, request)
            if (placement is Placement.Refuse) return lastFailure ?: refuse(placement)
            val send = placement as Placement.Send
            when (val attempt = attempt(queue, request, send)) {
                is AttemptResult.Final -> return attempt.reply

                is AttemptResult.Retryable -> {
                    if (!tryRetry(queue, request, attempt.reason)) return attempt.reply
                    lastFailure = attempt.reply
                }

                AttemptResult.NotSent ->
                    if (++connectFailures >= CONNECT_FAILURE_LIMIT) return lastFailure ?: notRun("target-unreachable")
            }
            exclude(request, send)
        }
    }

    /** Returns whether [request] may be sent to another target after a failure; if so, charges the retry budget. */
    private fun tryRetry(queue: ServiceQueue, request: ForwardedRequest, reason: String): Boolean {
        if (request.hasCallerLeft || request.sendCount >= request.maximumAttempts) return false
        if (request.mayHaveRun && !request.placement.workloadClass.idempotent) return false
        if (reason == TARGET_BROKEN && !crashes.mayRetry(request.fingerprint(headerNames))) return false
        if (!queue.retries.tryRetry(members(), clock())) {
            metrics.countRetry("budget-exhausted")
            return false
        }
        metrics.countRetry(reason)
        log.request(
            "retry",
            "id" to request.target.id,
            "target" to request.lastTarget,
            "connection" to request.lastConnection,
            "status_line" to request.lastStatusLine,
            "reason" to reason,
        )
        return true
    }

    private fun isSuspended(request: ForwardedRequest): Boolean =
        !crashes.isEmpty && crashes.isSuspended(request.fingerprint(headerNames), clock())

    /** An earlier attempt of the request may have run, so the reply promises nothing and invites to no repetition. */
    private fun crashesTargets(): Reply = Reply.Failed(BAD_GATEWAY, "crashes-targets")

    /** Returns the reply to [request] if it must not be sent to a target, or not to another one after [lastFailure]. */
    private fun unsentReplyOrNull(queue: ServiceQueue, request: ForwardedRequest, lastFailure: Reply?): Reply? = when {
        isSuspended(request) -> crashesTargets()
        !endsBeforeStop(queue, request) -> lastFailure ?: Reply.leaving()
        hasExpired(request) -> lastFailure ?: notRun("no-slot-in-time")
        else -> null
    }

    private fun endsBeforeStop(queue: ServiceQueue, request: ForwardedRequest): Boolean {
        val stop = stopDeadline() ?: return true
        val longestTime = queue.pool.longestProcessingTime(request.placement.workloadClass)
        return stop.allowsSend(request.placement.deadline, longestTime, clock())
    }

    /** The timer of the time limit may fire late: a busy event loop reads sockets before it runs its timers. */
    private fun hasExpired(request: ForwardedRequest): Boolean = clock() >= request.placement.deadline

    private fun exclude(request: ForwardedRequest, send: Placement.Send) {
        request.placement = request.placement.copy(excluded = request.placement.excluded + send.target.key)
    }

    private suspend fun place(queue: ServiceQueue, request: ForwardedRequest): Placement {
        val placement = queue.pool.offer(request.placement, clock())
        return if (placement is Placement.Wait) queue.await(placement.ticket) else placement
    }

    private fun refuse(placement: Placement.Refuse): Reply =
        Reply.NotRun(SERVICE_UNAVAILABLE, placement.reason.label, placement.retryAfter)

    private fun notRun(reason: String): Reply = Reply.NotRun(SERVICE_UNAVAILABLE, reason, NO_TARGET_RETRY_AFTER)

    private sealed interface AttemptResult {
        /** [reply] goes to the caller. */
        class Final(val reply: Reply) : AttemptResult

        /** Failure with [reply] after which another target may be tried. */
        class Retryable(val reply: Reply, val reason: String) : AttemptResult

        /** The request was not sent to the target. */
        data object NotSent : AttemptResult
    }

    private suspend fun attempt(queue: ServiceQueue, request: ForwardedRequest, send: Placement.Send): AttemptResult {
        var outcome: TargetOutcome = TargetOutcome.Cancelled
        try {
            eventLoopMonitor.awaitSocketReadsIfDelayed()
            val idempotent = request.placement.workloadClass.idempotent
            val maximumIdleTime = if (idempotent) Duration.INFINITE else NON_IDEMPOTENT_IDLE_LIMIT
            val limit = connectionLimit(request.service)
            val timeout = connectTimeout(send.target)
            val connection =
                connections.takeOrNull(send.target, request.target.id, maximumIdleTime, limit, timeout)
            if (connection == null) {
                outcome = TargetOutcome.Unreachable
                log.request("target-unreachable", "id" to request.target.id, "target" to send.target.key.name)
                return AttemptResult.NotSent
            }
            return closingOnFailure(connection) {
                // All of this may have changed while the connection was opened.
                val isWorthSending = endsBeforeStop(queue, request) && !hasExpired(request)
                if (!isWorthSending || !queue.pool.mayReceive(send.target, clock())) {
                    connections.release(send.target.key, connection)
                    AttemptResult.NotSent
                } else if (isSuspended(request)) {
                    connections.release(send.target.key, connection)
                    AttemptResult.Final(crashesTargets())
                } else {
                    val (result, exchangeOutcome) = exchange(queue, request, send, connection)
                    outcome = exchangeOutcome
                    result
                }
            }
        } finally {
            settle(queue, send, outcome)
        }
    }

    private fun settle(queue: ServiceQueue, send: Placement.Send, outcome: TargetOutcome) {
        queue.pool.finish(send.inFlight, outcome, clock())
        queue.dispatch()
    }

    /**
     * Returns the result of [work], which returns [connection] to the pool or closes it. If [work] is cancelled or
     * fails, the connection is closed, which tells the target to abandon the request.
     */
    private inline fun <T> closingOnFailure(connection: TargetConnection, work: () -> T): T {
        var hasSucceeded = false
        try {
            return work().also { hasSucceeded = true }
        } finally {
            if (!hasSucceeded) connection.close()
        }
    }

    private suspend fun exchange(
        queue: ServiceQueue,
        request: ForwardedRequest,
        send: Placement.Send,
        connection: TargetConnection,
    ): Pair<AttemptResult, TargetOutcome> {
        val exchange = TargetExchange(
            connection = connection,
            request = withTargetHeaders(request, send),
            headerNames = headerNames,
            responseMemory = request.responseMemory,
            onRateLimit = { recordRateLimit(queue, request, send, it) },
            onLeaving = { onTargetLeaving(send.target) },
            onPause = { recordPause(queue, request, send, it) },
            onFault = { recordFault(request, send, it) },
        )
        request.sendCount++
        request.lastTarget = send.target.key.name
        request.lastZone = send.target.zone.value
        request.placementReason = send.inFlight.reason
        request.sentAt = clock()
        connection.recordRequest(request.target.id)
        request.lastConnection = connection.label
        request.lastStatusLine = null
        val mayHaveRunBefore = request.mayHaveRun
        request.mayHaveRun = true
        request.isAtTarget = true
        metrics.countSend(send.inFlight.rateLimitAtSend != null, send.cold)
        try {
            val result = awaitResult(queue, request, send, exchange)
            request.lastStatusLine = statusLineOrNull(result)
            recordEvidence(request, send, result)
            val attempt = if (result == null) targetSilent() else attemptResult(request, send, result, mayHaveRunBefore)
            // A connection with an unread rest of a response can't be used again; closing it ends the target's work.
            releaseOrClose(send, exchange, connection)
            return attempt
        } finally {
            request.isAtTarget = false
        }
    }

    private fun recordFault(request: ForwardedRequest, send: Placement.Send, fault: Throwable) {
        metrics.countUnexpectedFault()
        log.warning(
            "target-exchange-failed",
            "id" to request.target.id,
            "target" to send.target.key.name,
            "cause" to fault.stackTraceToString(),
        )
    }

    private fun statusLineOrNull(result: ExchangeResult?): String? = when (result) {
        is ExchangeResult.Complete -> "${result.status} ${result.statusMessage}"
        is ExchangeResult.Large -> "${result.response.statusCode()} ${result.response.statusMessage()}"
        is ExchangeResult.NotRun -> "${result.status} ${result.statusMessage}"
        is ExchangeResult.Broken, ExchangeResult.NotSent, null -> null
    }

    /** Records what [result] says about whether the request crashes targets. */
    private fun recordEvidence(request: ForwardedRequest, send: Placement.Send, result: ExchangeResult?) {
        val now = clock()
        if (result is ExchangeResult.Broken && !result.hasResponded) {
            val sentAt = request.sentAt ?: now
            crashes.recordConnectionEnded(request.fingerprint(headerNames), send.target.key, sentAt, now)
            connections.verify(send.target, connectTimeout(send.target))
        } else if (!crashes.isEmpty && (result is ExchangeResult.Complete || result is ExchangeResult.Large)) {
            crashes.recordResponse(request.fingerprint(headerNames), now)
        }
    }

    private fun recordRateLimit(
        queue: ServiceQueue,
        request: ForwardedRequest,
        send: Placement.Send,
        statement: RateLimitStatement,
    ) {
        val isChanged = queue.pool.recordRateLimit(send.inFlight, statement, clock())
        if (!isChanged && statement != RateLimitStatement.Unreadable) return
        log.request(
            "target-rate-limit",
            "id" to request.target.id,
            "target" to send.target.key.name,
            "started_at" to send.target.key.startedAtMillis,
            "at_send" to send.inFlight.rateLimitAtSend,
            "stated" to statement,
        )
    }

    private fun recordPause(queue: ServiceQueue, request: ForwardedRequest, send: Placement.Send, pause: Duration) {
        queue.pool.recordPause(send.inFlight, pause, clock())
        log.request(
            "target-paused",
            "id" to request.target.id,
            "target" to send.target.key.name,
            "started_at" to send.target.key.startedAtMillis,
            "pause_ms" to pause.inWholeMilliseconds,
        )
    }

    private fun targetSilent(): Pair<AttemptResult, TargetOutcome> =
        AttemptResult.Retryable(Reply.Failed(GATEWAY_TIMEOUT, "target-silent"), "target-silent") to TargetOutcome.Broken

    private suspend fun attemptResult(
        request: ForwardedRequest,
        send: Placement.Send,
        result: ExchangeResult,
        mayHaveRunBefore: Boolean,
    ): Pair<AttemptResult, TargetOutcome> = when (result) {
        is ExchangeResult.Complete -> completed(result)

        is ExchangeResult.Large -> {
            val answeredAt = clock()
            val isComplete = request.deliverStream(result)
            if (!isComplete) logBroken(request, send, "streamed response ended early")
            val outcome = if (isComplete) {
                TargetOutcome.Answered(failed = false, report = null, answeredAt = answeredAt)
            } else {
                TargetOutcome.Broken
            }
            AttemptResult.Final(Reply.Streamed(result.response.statusCode(), isComplete)) to outcome
        }

        ExchangeResult.NotSent -> {
            request.mayHaveRun = mayHaveRunBefore
            request.sendCount--
            AttemptResult.NotSent to TargetOutcome.Cancelled
        }

        is ExchangeResult.NotRun -> {
            request.mayHaveRun = mayHaveRunBefore
            metrics.countTargetFailure("not-run")
            val isMisdirected = result.status == TargetExchange.MISDIRECTED
            val outcome = if (isMisdirected) TargetOutcome.Misdirected else TargetOutcome.Shed(result.report)
            AttemptResult.Retryable(replyAfterNotRun(request), "not-run") to outcome
        }

        is ExchangeResult.Broken -> {
            logBroken(request, send, result.cause)
            AttemptResult.Retryable(Reply.Failed(BAD_GATEWAY, TARGET_BROKEN), TARGET_BROKEN) to TargetOutcome.Broken
        }
    }

    private fun logBroken(request: ForwardedRequest, send: Placement.Send, cause: String) {
        metrics.countTargetFailure("broken")
        log.request(
            "target-broken",
            "id" to request.target.id,
            "target" to send.target.key.name,
            "started_at" to send.target.key.startedAtMillis,
            "fingerprint" to fingerprintText(request.fingerprint(headerNames)),
            "connection" to request.lastConnection,
            "cause" to cause,
        )
    }

    /** Reply after a target did not run [request], which may still have run at an earlier target. */
    private fun replyAfterNotRun(request: ForwardedRequest): Reply = if (request.mayHaveRun) {
        Reply.Failed(BAD_GATEWAY, TARGET_BROKEN)
    } else {
        Reply.NotRun(SERVICE_UNAVAILABLE, "target-full", TARGET_FULL_RETRY_AFTER)
    }

    private fun completed(result: ExchangeResult.Complete): Pair<AttemptResult, TargetOutcome> {
        val failed = result.status >= SERVER_ERROR
        val reply = Reply.FromTarget(result)
        val attempt = if (failed) AttemptResult.Retryable(reply, "target-failed") else AttemptResult.Final(reply)
        if (failed) metrics.countTargetFailure("failed")
        return attempt to TargetOutcome.Answered(failed, result.report)
    }

    /** Returns `null` if the target has not responded for so long that the request should be sent to another target. */
    private suspend fun awaitResult(
        queue: ServiceQueue,
        request: ForwardedRequest,
        send: Placement.Send,
        exchange: TargetExchange,
    ): ExchangeResult? {
        val responseTimeout = queue.pool.answerTimeout(send.inFlight)
        val remaining = request.placement.deadline - clock()
        val canRetry = request.placement.workloadClass.idempotent &&
            request.sendCount < request.maximumAttempts &&
            remaining > responseTimeout + send.inFlight.expectedTime
        exchange.send()
        val isSilent = canRetry && withTimeoutOrNull(responseTimeout) { exchange.awaitHead() } == null
        // Without another target a late response is better than none.
        if (isSilent && queue.pool.hasAlternative(request.placement, send.target, clock())) return null
        return exchange.await()
    }

    private fun releaseOrClose(send: Placement.Send, exchange: TargetExchange, connection: TargetConnection) {
        if (exchange.isConnectionReusable) connections.release(send.target.key, connection) else connection.close()
    }

    private fun withTargetHeaders(request: ForwardedRequest, send: Placement.Send): TargetRequest {
        val headers: MultiMap = HttpHeaders.headers().addAll(request.target.headers)
        val remaining = (request.placement.deadline - clock()).inWholeMilliseconds.coerceAtLeast(1)
        headers.set(headerNames.deadlineMillis, remaining.toString())
        val name = checkNotNull(targetNameFieldOrNull(send.target.key.name)) { "no field can carry the target's name" }
        headers.set(headerNames.expectedTarget, name)
        return TargetRequest(request.target.id, request.target.method, request.target.uri, headers, request.target.body)
    }

    private companion object {
        const val SERVER_ERROR = 500
        const val BAD_GATEWAY = 502
        const val SERVICE_UNAVAILABLE = 503
        const val GATEWAY_TIMEOUT = 504
        const val CONNECT_FAILURE_LIMIT = 3
        const val TARGET_BROKEN = "target-broken"

        /**
         * Non-idempotent requests use no connection that was idle for longer: a target may have dropped it in the
         * meantime, and a request that fails that way can't be retried safely. Some targets forget connections that
         * were idle for 300 ms.
         */
        val NON_IDEMPOTENT_IDLE_LIMIT = 250.milliseconds
        val TARGET_FULL_RETRY_AFTER = 150.milliseconds
        val NO_TARGET_RETRY_AFTER = 300.milliseconds
    }
}
