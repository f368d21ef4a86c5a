package org.anvilshed.gateway.targets

import io.vertx.core.MultiMap
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpClientRequest
import io.vertx.core.http.HttpClientResponse
import io.vertx.core.http.HttpMethod
import io.vertx.core.http.RequestOptions
import kotlinx.coroutines.CompletableDeferred
import org.anvilshed.core.placement.LoadReport
import org.anvilshed.core.placement.RateLimitStatement
import org.anvilshed.core.placement.parsePauseOrNull
import org.anvilshed.gateway.HeldBytes
import org.anvilshed.gateway.MemoryBudget
import org.anvilshed.gateway.RequestHeaderNames
import org.anvilshed.http.isFilledByNextResponse
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Request as it is sent to a target.
 *
 * @property id identifier that the target must repeat in its response.
 * @property body whole body; `null` if the request has none.
 */
internal class TargetRequest(
    val id: String,
    val method: HttpMethod,
    val uri: String,
    val headers: MultiMap,
    val body: Buffer?,
)

/** Result of sending a request to a target. */
internal sealed interface ExchangeResult {
    /**
     * Complete response of the target.
     *
     * @property statusMessage reason phrase of the status line, for the log.
     */
    class Complete(
        val status: Int,
        val statusMessage: String?,
        val headers: MultiMap,
        val body: Buffer,
        val report: LoadReport?,
    ) : ExchangeResult

    /**
     * Start of a response that is too large to buffer.
     *
     * @property response the response, paused after [head].
     * @property head parts of the body that were already read.
     * @property ended completes with `true` after the whole body, and with `false` if the response ends early.
     */
    class Large(val response: HttpClientResponse, val head: List<Buffer>, val ended: CompletableDeferred<Boolean>) :
        ExchangeResult

    /** The request was not sent, as the connection had become unusable since it was taken. */
    data object NotSent : ExchangeResult

    /**
     * The target reported that it did not run the request.
     *
     * @property statusMessage reason phrase of the status line, for the log.
     */
    class NotRun(val status: Int, val statusMessage: String?, val report: LoadReport?) : ExchangeResult

    /**
     * No usable response; the request may have run.
     *
     * @property cause what failed, for the log.
     * @property hasResponded whether the target began to respond.
     */
    class Broken(val cause: String, val hasResponded: Boolean) : ExchangeResult
}

/**
 * Single exchange of a request and its response on a connection to a target.
 *
 * @param responseMemory memory for holding the response; a response that does not fit is streamed.
 * @param onRateLimit called with the statement of the response as soon as its head has arrived.
 * @param onLeaving called as soon as the head of a response has arrived that says that the target shuts down.
 * @param onPause called with the time for which the target wants no requests, as soon as the head of a response that
 *   states it has arrived.
 * @param onFault called with each unexpected exception while the request is written or the response is read.
 */
internal class TargetExchange(
    private val connection: TargetConnection,
    private val request: TargetRequest,
    private val headerNames: RequestHeaderNames,
    private val responseMemory: MemoryBudget.Reservation,
    private val onRateLimit: (RateLimitStatement) -> Unit,
    private val onLeaving: () -> Unit,
    private val onPause: (Duration) -> Unit,
    private val onFault: (Throwable) -> Unit,
) {
    private val headArrived = CompletableDeferred<Unit>()
    private val result = CompletableDeferred<ExchangeResult>()
    private val largeBodyEnded = CompletableDeferred<Boolean>()
    private var isRequestWritten = false
    private var isResponseReusable = false

    /** Whether the connection may serve another request. */
    val isConnectionReusable: Boolean
        get() = isResponseReusable && isRequestWritten && connection.isUsable

    /** Sends the request. */
    fun send() {
        val options = RequestOptions().setMethod(request.method).setURI(request.uri).setHeaders(request.headers)
        connection.connection.exceptionHandler { broken("connection closed") }
        connection.connection.request(options).onComplete { created ->
            if (created.failed()) {
                broken(
                    "cannot open a request on the connection: ${created.cause()}",
                )
            } else {
                endingOnFault { write(created.result()) }
            }
        }
    }

    /** Suspends until the head of the response has arrived or the exchange has failed. */
    suspend fun awaitHead(): Unit = headArrived.await()

    /** Suspends until the response is complete, found to be large, or has failed. */
    suspend fun await(): ExchangeResult = result.await()

    private fun write(target: HttpClientRequest) {
        if (!connection.isUsable) {
            headArrived.complete(Unit)
            result.complete(ExchangeResult.NotSent)
            return
        }
        target.exceptionHandler { broken("request failed: $it") }
        target.response().onComplete { head ->
            if (head.failed()) broken("no response: ${head.cause()}") else endingOnFault { receive(head.result()) }
        }
        val body = request.body
        val written = if (body == null || body.length() == 0) target.end() else target.end(body)
        written.onComplete { isRequestWritten = it.succeeded() }
    }

    private fun receive(response: HttpClientResponse) {
        if (response.headers().getAll(headerNames.requestId).singleOrNull() != request.id) {
            headArrived.complete(Unit)
            broken("response to another request")
            connection.close()
            return
        }
        headArrived.complete(Unit)
        applyKeepAlive(response)
        // Another process answers with this status; it says nothing about the target.
        if (response.statusCode() != MISDIRECTED) {
            onRateLimit(RateLimitStatement.parse(response.headers().getAll(headerNames.targetRateLimit)))
            if (response.headers().getAll(headerNames.targetLeaving).any { it.trim() == "1" }) onLeaving()
            if (response.statusCode() == SERVICE_UNAVAILABLE) {
                parsePauseOrNull(response.headers().getAll("Retry-After"))?.let(onPause)
            }
        }
        val report = parseLoadReport(response.getHeader(headerNames.targetLoad))
        val body = HeldBytes(responseMemory)
        var failure: String? = null
        response.exceptionHandler {
            failure = it.toString()
            broken("response ended early: $it")
            largeBodyEnded.complete(false)
        }
        response.handler { chunk ->
            endingOnFault {
                val isHeld = body.length + chunk.length() <= BUFFER_LIMIT_BYTES && body.tryAppend(chunk)
                if (!isHeld && !result.isCompleted) {
                    response.pause()
                    result.complete(ExchangeResult.Large(response, body.parts + chunk, largeBodyEnded))
                }
            }
        }
        response.endHandler {
            val hasFraming =
                response.getHeader("Content-Length") != null || response.getHeader("Transfer-Encoding") != null
            isResponseReusable = hasFraming && failure == null && keepsConnectionOpen(response)
            largeBodyEnded.complete(failure == null)
            if (failure == null) endingOnFault { complete(response, body.toBuffer(), report) }
        }
    }

    private fun complete(response: HttpClientResponse, body: Buffer, report: LoadReport?) {
        val strayBytes = connection.strayBytes
        if (strayBytes != null && isFilledByNextResponse(body.toString(Charsets.ISO_8859_1), strayBytes)) {
            broken("response ended early: its body contains another response")
        } else {
            result.complete(completed(response, body, report))
        }
    }

    private fun completed(response: HttpClientResponse, body: Buffer, report: LoadReport?): ExchangeResult {
        val notExecuted = response.getHeader(headerNames.notExecuted) != null
        return if (notExecuted || response.statusCode() == MISDIRECTED) {
            ExchangeResult.NotRun(response.statusCode(), response.statusMessage(), report)
        } else {
            ExchangeResult.Complete(response.statusCode(), response.statusMessage(), response.headers(), body, report)
        }
    }

    private fun broken(cause: String) {
        val hasResponded = !headArrived.complete(Unit)
        result.complete(ExchangeResult.Broken(cause, hasResponded))
    }

    /** Runs [work] of a callback; after an exception there, nothing else would end the exchange. */
    @Suppress("TooGenericExceptionCaught")
    private inline fun endingOnFault(work: () -> Unit) {
        try {
            work()
        } catch (fault: Throwable) {
            isResponseReusable = false
            // An exchange that fails before a response counts as a sign that the request crashes targets.
            headArrived.complete(Unit)
            broken("unexpected: $fault")
            largeBodyEnded.complete(false)
            connection.close()
            onFault(fault)
        }
    }

    private fun keepsConnectionOpen(response: HttpClientResponse): Boolean =
        !response.getHeader("Connection").orEmpty().contains("close", ignoreCase = true)

    /** Lowers or raises the idle limit of the connection to the timeout that the target states. */
    private fun applyKeepAlive(response: HttpClientResponse) {
        val keepAlive = response.getHeader("Keep-Alive") ?: return
        val seconds = KEEP_ALIVE_TIMEOUT.find(keepAlive)?.groupValues?.get(1)?.toIntOrNull() ?: return
        connection.idleLimit = (seconds.seconds * IDLE_TIMEOUT_FRACTION)
    }

    private fun parseLoadReport(text: String?): LoadReport? {
        val numbers = text?.split(',')?.map { it.trim().toIntOrNull() ?: return null } ?: return null
        return if (numbers.size == LOAD_REPORT_FIELDS) LoadReport(numbers[0], numbers[1], numbers[2]) else null
    }

    companion object {
        /** Status 421 (Misdirected Request): another process has the address of the target. */
        const val MISDIRECTED = 421
        private const val SERVICE_UNAVAILABLE = 503
        private const val LOAD_REPORT_FIELDS = 3

        /** Responses up to this size are buffered whole, so that a retry can replace a response that fails midway. */
        private const val BUFFER_LIMIT_BYTES = 256 * 1024

        /** Idle connections are closed well before the target would, since its close may already be in transit. */
        private const val IDLE_TIMEOUT_FRACTION = 0.7
        private val KEEP_ALIVE_TIMEOUT = Regex("timeout=(\\d+)")
    }
}
