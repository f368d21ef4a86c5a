package org.anvilshed.gateway.targets

import io.vertx.core.MultiMap
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpClientRequest
import io.vertx.core.http.HttpClientResponse
import io.vertx.core.http.HttpMethod
import io.vertx.core.http.RequestOptions
import kotlinx.coroutines.CompletableDeferred
import org.anvilshed.core.placement.LoadReport
import org.anvilshed.gateway.RequestHeaderNames
import kotlin.time.Duration.Companion.seconds

/** Request as it is sent to a target. */
internal class TargetRequest(
    val id: String,
    val method: HttpMethod,
    val uri: String,
    val headers: MultiMap,
    val body: Buffer?,
)

/** Result of sending a request to a target. */
internal sealed interface ExchangeResult {
    /** The target's whole answer. */
    class Complete(val status: Int, val headers: MultiMap, val body: Buffer, val report: LoadReport?) : ExchangeResult

    /** The target's answer is too large to be held; its [response] is paused and has to be passed on. */
    class Large(val response: HttpClientResponse, val head: Buffer, val ended: CompletableDeferred<Boolean>) :
        ExchangeResult

    /** The target stated that it did not run the request. */
    class NotRun(val status: Int, val report: LoadReport?) : ExchangeResult

    /** No usable answer: the request may have run. */
    class Broken(val cause: String) : ExchangeResult
}

/** One request on one connection to a target, and the collection of its answer. */
internal class TargetExchange(
    private val connection: TargetConnection,
    private val request: TargetRequest,
    private val headerNames: RequestHeaderNames,
) {
    private val outcome = CompletableDeferred<ExchangeResult>()
    private val largeEnded = CompletableDeferred<Boolean>()
    private var requestWritten = false
    private var reusable = false

    /** Whether the connection may serve another request. */
    val isConnectionReusable: Boolean
        get() = reusable && requestWritten && connection.isOpen

    /** Sends the request and returns when the answer is known. */
    suspend fun run(): ExchangeResult {
        val options = RequestOptions().setMethod(request.method).setURI(request.uri).setHeaders(request.headers)
        connection.connection.exceptionHandler { broken("connection closed") }
        connection.connection.request(options).onComplete { created ->
            if (created.failed()) {
                broken(
                    "no request on the connection: ${created.cause()}",
                )
            } else {
                write(created.result())
            }
        }
        return outcome.await()
    }

    private fun write(target: HttpClientRequest) {
        target.exceptionHandler { broken("request failed: $it") }
        target.response().onComplete { head ->
            if (head.failed()) broken("no answer: ${head.cause()}") else receive(head.result())
        }
        val body = request.body
        val written = if (body == null || body.length() == 0) target.end() else target.end(body)
        written.onComplete { requestWritten = it.succeeded() }
    }

    private fun receive(response: HttpClientResponse) {
        if (response.getHeader(headerNames.requestId) != request.id) {
            broken("answer of another request")
            connection.close()
            return
        }
        noteKeepAlive(response)
        val report = parseReport(response.getHeader(headerNames.targetLoad))
        val body = Buffer.buffer()
        var failure: String? = null
        response.exceptionHandler {
            failure = it.toString()
            broken("answer broke off: $it")
            largeEnded.complete(false)
        }
        response.handler { chunk ->
            body.appendBuffer(chunk)
            if (body.length() > BUFFER_LIMIT_BYTES && !outcome.isCompleted) {
                response.pause()
                outcome.complete(ExchangeResult.Large(response, body, largeEnded))
            }
        }
        response.endHandler {
            val framed = response.getHeader("Content-Length") != null || response.getHeader("Transfer-Encoding") != null
            reusable = framed && failure == null && keepsAlive(response)
            largeEnded.complete(failure == null)
            if (failure == null) outcome.complete(completed(response, body, report))
        }
    }

    private fun completed(response: HttpClientResponse, body: Buffer, report: LoadReport?): ExchangeResult {
        val notExecuted = response.getHeader(headerNames.notExecuted) != null
        return if (notExecuted || response.statusCode() == MISDIRECTED) {
            ExchangeResult.NotRun(response.statusCode(), report)
        } else {
            ExchangeResult.Complete(response.statusCode(), response.headers(), body, report)
        }
    }

    private fun broken(cause: String) {
        outcome.complete(ExchangeResult.Broken(cause))
    }

    private fun keepsAlive(response: HttpClientResponse): Boolean =
        !response.getHeader("Connection").orEmpty().contains("close", ignoreCase = true)

    private fun noteKeepAlive(response: HttpClientResponse) {
        val stated = response.getHeader("Keep-Alive") ?: return
        val seconds = KEEP_ALIVE_TIMEOUT.find(stated)?.groupValues?.get(1)?.toIntOrNull() ?: return
        connection.idleLimit = (seconds.seconds * IDLE_TIMEOUT_FRACTION)
    }

    private fun parseReport(text: String?): LoadReport? {
        val numbers = text?.split(',')?.map { it.trim().toIntOrNull() ?: return null } ?: return null
        return if (numbers.size == LOAD_REPORT_FIELDS) LoadReport(numbers[0], numbers[1], numbers[2]) else null
    }

    companion object {
        const val MISDIRECTED = 421
        private const val LOAD_REPORT_FIELDS = 3

        /** Answers up to this size are held whole, so that a broken one can be replaced by another target's. */
        private const val BUFFER_LIMIT_BYTES = 256 * 1024

        /** A kept connection is given up well before the target closes it, as the close may be on its way. */
        private const val IDLE_TIMEOUT_FRACTION = 0.7
        private val KEEP_ALIVE_TIMEOUT = Regex("timeout=(\\d+)")
    }
}
