package org.anvilshed.daemon.request

import io.vertx.core.Future
import io.vertx.core.MultiMap
import io.vertx.core.Vertx
import io.vertx.core.http.HttpClient
import io.vertx.core.http.HttpClientRequest
import io.vertx.core.http.HttpMethod
import io.vertx.core.http.RequestOptions
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.Job
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.anvilshed.core.MonotonicTime
import org.anvilshed.core.RefusalReason
import org.anvilshed.core.RetryReason
import org.anvilshed.core.UnknownReason
import org.anvilshed.core.seats.UsableShares
import org.anvilshed.daemon.DaemonClock
import org.anvilshed.daemon.limits.AcquiredTarget
import org.anvilshed.daemon.remaining
import org.anvilshed.daemon.toTimerMilliseconds
import org.anvilshed.http.closeImmediately
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

private const val STATUS_UNAVAILABLE = 503

/** Largest assumed relative difference in speed between the clocks of a target and of this VM. */
private const val TARGET_CLOCK_DRIFT = 0.05

/** Longest assumed delay of a request on its way to a target of the same region, including pauses of processes. */
private val TARGET_DELAY = 1.seconds

/**
 * Client, clock and timers that all attempts at targets share.
 *
 * @property recordServed records the duration of an attempt that ended with a complete response.
 */
internal class TargetAttemptContext(
    val client: HttpClient,
    val clock: DaemonClock,
    private val vertx: Vertx,
    val recordServed: (ResolvedRequest, Duration) -> Unit,
) {
    /** Runs [action] at [time] unless the returned timer is cancelled first. */
    fun schedule(time: MonotonicTime, action: () -> Unit): CancellableTimer {
        val identifier = vertx.setTimer(clock.remaining(time).toTimerMilliseconds()) { action() }
        return CancellableTimer { vertx.cancelTimer(identifier) }
    }
}

/** A scheduled action. */
internal fun interface CancellableTimer {
    /** Prevents the action; has no effect if the action has already run. */
    fun cancel()
}

/**
 * One attempt to run [request] on the target of [acquired]. Nothing is sent to the target before [permission] is
 * granted, and the slot stays taken until the response has ended or the deadline has passed.
 *
 * @param usableShares shares that back the slot of the target, read again immediately before the dispatch.
 */
internal class TargetAttempt(
    private val context: TargetAttemptContext,
    private val request: ResolvedRequest,
    private val acquired: AcquiredTarget,
    private val usableShares: () -> UsableShares,
    private val permission: DispatchPermission,
    private val sink: ResponseSink,
) {
    private class TargetResponse(val status: Int, val headers: MultiMap, val body: StreamBody)

    private val clock = context.clock
    private val target = acquired.state
    private var outgoing: HttpClientRequest? = null
    private var response: Future<TargetResponse>? = null
    private var dispatchedAt: MonotonicTime? = null
    private var isOverdue = false
    private var uploaded = false
    private var responseStarted = false
    private var responseComplete = false
    private var released = false
    private var bodyFault: UnknownReason? = null

    suspend fun run(): AttemptResult {
        try {
            val started = clock.now()
            val result = withTimeoutOrNull(clock.remaining(request.deadline)) { exchange() } ?: timedOut()
            if (responseComplete && result is AttemptResult.Ended) {
                val latency = clock.now() - started
                target.recordSuccess(latency)
                context.recordServed(request, latency)
            }
            return result
        } finally {
            release()
        }
    }

    private suspend fun exchange(): AttemptResult {
        val connected = connect()
        if (connected == null) {
            target.recordFailure(clock.now())
            val refusal = ServeResult.NotRun(RefusalReason.NO_TARGET)
            return AttemptResult.NotRun(refusal, RetryReason.TARGET_CONNECTION_REFUSED)
        }
        val denied = permission.acquire(request.deadline, ::dispatchRefusalOrNull)
        if (denied != null) {
            connected.reset()
            return if (denied == RefusalReason.NO_TARGET) AttemptResult.NotSent(denied) else notRun(denied)
        }
        outgoing = connected
        dispatchedAt = clock.now()
        // Set after the connection was made: time spent on connecting must not extend the deadline at the target.
        connected.putHeader("Deadline-Ms", remainingForTarget().toTimerMilliseconds().toString())
        // A failure is seen on the response; without this handler Vert.x would log each lost connection as an error.
        connected.exceptionHandler { }
        val response = receive(connected).also { response = it }
        return if (request.body.knownLength != null) {
            upload(connected)
            answer(response, upload = null)
        } else {
            coroutineScope {
                val upload = launch { uploadReportingFaults(connected) }
                answer(response, upload).also { upload.cancelAndJoin() }
            }
        }
    }

    private fun dispatchRefusalOrNull(now: MonotonicTime): RefusalReason? =
        if (usableShares().isValidAt(now)) target.dispatchRefusalOrNull(clock.wallNow()) else RefusalReason.NO_SEAT

    private suspend fun connect(): HttpClientRequest? {
        val connecting = context.client.request(options())
        return try {
            connecting.coAwait()
        } catch (cancelled: CancellationException) {
            // Without this, a connection that opens after the cancellation would stay occupied forever.
            connecting.onSuccess { it.reset() }
            throw cancelled
        } catch (@Suppress("TooGenericExceptionCaught") _: Exception) {
            // Vert.x reports a failed connection by exceptions of many types. Nothing was sent.
            null
        }
    }

    private fun options(): RequestOptions {
        val headers = MultiMap.caseInsensitiveMultiMap()
        request.headers.forEach { headers.add(it.name, it.value) }
        request.identifier?.let { headers.set("Request-Id", it.toString()) }
        return RequestOptions()
            .setMethod(HttpMethod.valueOf(request.method))
            .setHost(target.address.substringBeforeLast(':').removeSurrounding("[", "]"))
            .setPort(target.address.substringAfterLast(':').toInt())
            .setURI(request.path)
            .setFollowRedirects(false)
            .setHeaders(headers)
    }

    private fun remainingForTarget(): Duration =
        minOf(clock.remaining(request.deadline), usableShares().longestDeadline)

    private fun receive(connected: HttpClientRequest): Future<TargetResponse> = connected.response().map { response ->
        response.pause()
        TargetResponse(response.statusCode(), response.headers(), StreamBody(response))
    }

    private suspend fun upload(connected: HttpClientRequest) {
        val length = request.body.knownLength
        val hasLength = request.headers.valueOrNull("content-length") != null
        if (length == null && !hasLength) connected.setChunked(true)
        if (length != null && length > 0 && !hasLength) connected.putHeader("Content-Length", length.toString())
        // A failed write is not awaited: either the response fails as well, or the target answered before the end of
        // the body.
        request.body.forEach { chunk ->
            val written = connected.write(chunk)
            if (connected.writeQueueFull()) written.awaitIgnoringFailure()
        }
        connected.end()
        uploaded = true
    }

    private suspend fun Future<Void>.awaitIgnoringFailure() {
        otherwiseEmpty().coAwait()
    }

    private suspend fun uploadReportingFaults(connected: HttpClientRequest) {
        try {
            upload(connected)
        } catch (_: BodyTooLargeException) {
            bodyFault = UnknownReason.BODY_TOO_LARGE
            connected.abort()
        } catch (_: IncompleteBodyException) {
            bodyFault = UnknownReason.CANCELLED
            connected.abort()
        }
    }

    private suspend fun answer(response: Future<TargetResponse>, upload: Job?): AttemptResult {
        val answer = try {
            response.coAwait()
        } catch (cancelled: CancellationException) {
            throw cancelled
        } catch (@Suppress("TooGenericExceptionCaught") _: Exception) {
            // Vert.x reports a lost connection by exceptions of many types.
            upload?.cancelAndJoin()
            return lost()
        }
        return if (answer.isShed()) shed(answer) else passOn(answer)
    }

    private fun lost(): AttemptResult {
        bodyFault?.let { return unknown(it) }
        target.recordFailure(clock.now())
        return AttemptResult.Lost(UnknownReason.TARGET_CONNECTION_LOST, RetryReason.TARGET_CONNECTION_LOST)
    }

    private fun TargetResponse.isShed(): Boolean = status == STATUS_UNAVAILABLE && headers["Not-Run"] == "true"

    private fun shed(answer: TargetResponse): AttemptResult {
        if (answer.headers["Draining"] == "true") target.recordDrainingAnswer()
        responseComplete = true
        answer.body.discard()
        permission.recordNotRun()
        return AttemptResult.NotRun(ServeResult.NotRun(RefusalReason.TARGET_SHED), RetryReason.TARGET_SHED)
    }

    private suspend fun passOn(answer: TargetResponse): AttemptResult {
        responseStarted = true
        sink.begin(ResponseHead(answer.status, endToEndResponseHeaders(answer.headers.entries()), target.name))
        try {
            while (true) sink.write(answer.body.next() ?: break)
        } catch (_: IncompleteBodyException) {
            target.recordFailure(clock.now())
            return AttemptResult.Ended(ServeResult.Broken)
        }
        responseComplete = true
        // Released before the end is passed on: a slow receiver must not occupy the slot.
        release()
        sink.end()
        return AttemptResult.Ended(ServeResult.Answered)
    }

    private fun timedOut(): AttemptResult {
        if (outgoing == null) return notRun(RefusalReason.DEADLINE_PASSED)
        isOverdue = uploaded && !responseStarted
        target.recordFailure(clock.now())
        return if (responseStarted) AttemptResult.Ended(ServeResult.Broken) else unknown(UnknownReason.DEADLINE_PASSED)
    }

    private fun release() {
        if (released) return
        released = true
        val connected = outgoing
        val pending = response
        when {
            connected == null || responseComplete -> acquired.complete()
            isOverdue && pending != null -> awaitEndAtTarget(connected, pending)
            else -> acquired.abandon(endAtTarget())
        }
        if (!isOverdue && (!responseComplete || !uploaded)) connected?.abort()
    }

    /** Ends a request that may have been sent in part. */
    private fun HttpClientRequest.abort() {
        reset()
        connection()?.closeImmediately()
    }

    /**
     * Keeps the slot and the connection until the target has ended the request by its own clock. If the connection were
     * closed and the slot freed at the deadline, the target could receive the next request before it notices the close,
     * and would count both requests against its slots.
     */
    private fun awaitEndAtTarget(connected: HttpClientRequest, pending: Future<TargetResponse>) {
        val timer = context.schedule(endAtTarget()) { connected.abort() }
        val onEnd = { hasEnded: Boolean ->
            timer.cancel()
            if (hasEnded) acquired.complete() else acquired.abandon(endAtTarget())
        }
        pending.onComplete { result ->
            val body = result.result()?.body
            if (body == null) onEnd(false) else body.discard(onEnd)
        }
    }

    /** Latest time at which the target may work on the request if its clock is slow and the request was delayed. */
    private fun endAtTarget(): MonotonicTime {
        val sent = dispatchedAt ?: return request.deadline
        return request.deadline + (request.deadline - sent) * TARGET_CLOCK_DRIFT + TARGET_DELAY
    }
}
