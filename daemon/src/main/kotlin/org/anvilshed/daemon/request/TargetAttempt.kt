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
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

private const val BUSY_STATUS = 503

/** Largest relative difference between the clocks of a target and of this VM. */
private const val TARGET_CLOCK_DRIFT = 0.05

/** Longest delay of a request on its way to a target of the same region; covers pauses of processes. */
private val TARGET_DELAY = 1.seconds

/** What an attempt at a target needs apart from the request. */
internal class TargetAccess(
    val client: HttpClient,
    val clock: DaemonClock,
    private val vertx: Vertx,
    val recordServed: (ServiceRequest, Duration) -> Unit,
) {
    /** Runs [action] at [time] unless the returned timer is cancelled before. */
    fun resetAt(time: MonotonicTime, action: () -> Unit): CancellableTimer {
        val identifier = vertx.setTimer(clock.remaining(time).toTimerMilliseconds()) { action() }
        return CancellableTimer { vertx.cancelTimer(identifier) }
    }
}

/** A timer that has not fired yet, or has; cancelling it later has no effect. */
internal fun interface CancellableTimer {
    fun cancel()
}

/**
 * One attempt to run [request] on the target of [place]. Nothing is sent to the target before [gate] was opened, and
 * the slot stays taken until the response has ended or the deadline has passed.
 *
 * @param seats right to use the target's slot, read again at the last moment.
 */
internal class TargetAttempt(
    private val access: TargetAccess,
    private val request: ServiceRequest,
    private val place: AcquiredTarget,
    private val seats: () -> UsableShares,
    private val gate: DispatchGate,
    private val sink: ResponseSink,
) {
    private class Answer(val status: Int, val headers: MultiMap, val body: StreamBody)

    private val clock = access.clock
    private val target = place.state
    private var outgoing: HttpClientRequest? = null
    private var response: Future<Answer>? = null
    private var dispatchedAt: MonotonicTime? = null
    private var isOverdue = false
    private var uploaded = false
    private var begun = false
    private var complete = false
    private var released = false
    private var bodyFault: UnknownReason? = null

    suspend fun run(): AttemptResult {
        val started = clock.now()
        try {
            val result = withTimeoutOrNull(clock.remaining(request.deadline)) { exchange() } ?: timedOut()
            if (complete && result is AttemptResult.Ended) {
                val latency = clock.now() - started
                target.recordSuccess(latency)
                access.recordServed(request, latency)
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
        val denied = gate.open(request.deadline, ::dispatchRefusalOrNull)
        if (denied != null) {
            connected.reset()
            return if (denied == RefusalReason.NO_TARGET) AttemptResult.NotSent(denied) else notRun(denied)
        }
        outgoing = connected
        dispatchedAt = clock.now()
        // Set here, since the time for the connection must not prolong the deadline at the target.
        connected.putHeader("Deadline-Ms", remainingForTarget().toTimerMilliseconds().toString())
        // The response fails with the request; without a handler Vert.x would log each lost connection as an error.
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
        if (seats().isValidAt(now)) target.dispatchRefusalOrNull(clock.wallNow()) else RefusalReason.NO_SEAT

    private suspend fun connect(): HttpClientRequest? {
        val connecting = access.client.request(options())
        return try {
            connecting.coAwait()
        } catch (cancelled: CancellationException) {
            // A connection that comes late would otherwise stay occupied for ever.
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

    private fun remainingForTarget(): Duration = minOf(clock.remaining(request.deadline), seats().longestDeadline)

    private fun receive(connected: HttpClientRequest): Future<Answer> = connected.response().map { response ->
        response.pause()
        Answer(response.statusCode(), response.headers(), StreamBody(response))
    }

    private suspend fun upload(connected: HttpClientRequest) {
        val length = request.body.knownLength
        val hasLength = request.headers.valueOrNull("content-length") != null
        if (length == null && !hasLength) connected.setChunked(true)
        if (length != null && length > 0 && !hasLength) connected.putHeader("Content-Length", length.toString())
        // A failed write is not awaited: the response fails with it, or the target has answered before the body's end.
        request.body.forEach { piece ->
            val written = connected.write(piece)
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
            connected.reset()
        } catch (_: BodyBrokenException) {
            bodyFault = UnknownReason.CANCELLED
            connected.reset()
        }
    }

    private suspend fun answer(response: Future<Answer>, upload: Job?): AttemptResult {
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

    private fun Answer.isShed(): Boolean = status == BUSY_STATUS && headers["Not-Run"] == "true"

    private fun shed(answer: Answer): AttemptResult {
        if (answer.headers["Draining"] == "true") target.recordDrainingAnswer()
        complete = true
        answer.body.discard()
        gate.returned()
        return AttemptResult.NotRun(ServeResult.NotRun(RefusalReason.TARGET_SHED), RetryReason.TARGET_SHED)
    }

    private suspend fun passOn(answer: Answer): AttemptResult {
        begun = true
        sink.begin(ResponseHead(answer.status, endToEndResponseHeaders(answer.headers.entries()), target.name))
        try {
            while (true) sink.write(answer.body.next() ?: break)
        } catch (_: BodyBrokenException) {
            target.recordFailure(clock.now())
            return AttemptResult.Ended(ServeResult.Broken)
        }
        complete = true
        // A receiver that is slow to take the end must not occupy the slot.
        release()
        sink.end()
        return AttemptResult.Ended(ServeResult.Answered)
    }

    private fun timedOut(): AttemptResult {
        if (outgoing == null) return notRun(RefusalReason.DEADLINE_PASSED)
        isOverdue = uploaded && !begun
        target.recordFailure(clock.now())
        return if (begun) AttemptResult.Ended(ServeResult.Broken) else unknown(UnknownReason.DEADLINE_PASSED)
    }

    private fun release() {
        if (released) return
        released = true
        val connected = outgoing
        val pending = response
        when {
            connected == null || complete -> place.complete()
            isOverdue && pending != null -> awaitEndAtTarget(connected, pending)
            else -> place.abandon(endAtTarget())
        }
        if (!isOverdue && (!complete || !uploaded)) connected?.reset()
    }

    /**
     * Keeps slot and connection until the target has ended its work by its own clock. Closing the connection at the
     * deadline would free the slot while the target still counts the request, since it may see the next one first.
     */
    private fun awaitEndAtTarget(connected: HttpClientRequest, pending: Future<Answer>) {
        val timer = access.resetAt(endAtTarget()) { connected.reset() }
        val onEnd = { hasEnded: Boolean ->
            timer.cancel()
            if (hasEnded) place.complete() else place.abandon(endAtTarget())
        }
        pending.onComplete { result ->
            val body = result.result()?.body
            if (body == null) onEnd(false) else body.discard(onEnd)
        }
    }

    /** Latest time at which the target works on the request, if its clock is slow and the request was delayed. */
    private fun endAtTarget(): MonotonicTime {
        val sent = dispatchedAt ?: return request.deadline
        return request.deadline + (request.deadline - sent) * TARGET_CLOCK_DRIFT + TARGET_DELAY
    }
}
