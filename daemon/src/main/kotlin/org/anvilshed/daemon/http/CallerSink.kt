package org.anvilshed.daemon.http

import io.netty.channel.ChannelOption
import io.vertx.core.Future
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpServerRequest
import io.vertx.core.http.impl.HttpServerConnection
import io.vertx.core.json.JsonObject
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.CancellationException
import org.anvilshed.core.RefusalReason
import org.anvilshed.core.UnknownReason
import org.anvilshed.core.VmName
import org.anvilshed.daemon.request.OwnedRequestRunner
import org.anvilshed.daemon.request.ResponseHead
import org.anvilshed.daemon.request.ResponseSink
import org.anvilshed.daemon.request.ServeResult

private const val OUTCOME = "Anvilshed-Outcome"
private const val VIA = "Anvilshed-Via"
private const val INTERNAL_SERVER_ERROR = 500

/**
 * Sends a response to a caller.
 *
 * @param isLeaving returns whether this VM is leaving; the caller is then told to close its connection.
 */
internal class CallerSink(
    private val request: HttpServerRequest,
    private val self: VmName,
    private val isLeaving: () -> Boolean,
) : ResponseSink {
    private val response = request.response()
    private var hasLength = false

    override suspend fun begin(head: ResponseHead) {
        if (response.closed()) return
        response.statusCode = head.status
        for (field in head.headers) {
            val isOwn = field.name.startsWith("Anvilshed-", ignoreCase = true)
            if (!isOwn ||
                field.name == OwnedRequestRunner.REPLAYED_HEADER
            ) {
                response.headers().add(field.name, field.value)
            }
            if (field.name.equals("content-length", ignoreCase = true)) hasLength = true
        }
        response.putHeader(OUTCOME, "answered")
        response.putHeader(VIA, (listOf(self.value) + head.via).joinToString(","))
        head.target?.let { response.putHeader("Anvilshed-Target", it.value) }
        closeIfLeaving()
    }

    override suspend fun write(bytes: Buffer) {
        if (response.closed() || response.ended()) return
        if (!hasLength && !response.headWritten()) response.isChunked = true
        val written = response.write(bytes)
        if (response.writeQueueFull()) written.awaitIgnoringFailure()
    }

    override suspend fun end() {
        if (!response.closed() && !response.ended()) response.end().awaitIgnoringFailure()
    }

    /** Sends [result] to the caller if no complete response was sent. */
    suspend fun finish(result: ServeResult) {
        when (result) {
            ServeResult.Answered -> Unit

            ServeResult.Broken -> resetConnection()

            is ServeResult.NotRun -> {
                val retryAfter = result.retryAfter?.inWholeMilliseconds
                respond(statusOf(result.reason), "not-run", result.reason.label, messageOf(result.reason), retryAfter)
            }

            is ServeResult.Unknown ->
                respond(statusOf(result.reason), "unknown", result.reason.label, messageOf(result.reason), null)
        }
    }

    /** Ends the response after an unexpected exception, at which the request may have run. */
    suspend fun finishAfterFault() {
        if (response.ended()) return
        try {
            if (response.headWritten()) {
                resetConnection()
            } else {
                // Not an UnknownReason: peers of older builds could not read another one.
                respond(INTERNAL_SERVER_ERROR, "unknown", "internal-fault", "this entry VM failed", retryAfter = null)
            }
        } catch (cancelled: CancellationException) {
            throw cancelled
        } catch (@Suppress("TooGenericExceptionCaught") _: Exception) {
            resetConnection()
        }
    }

    /** Resets the connection, so that the caller can't take an incomplete response for a complete one. */
    private fun resetConnection() {
        val channel = (request.connection() as HttpServerConnection).channelHandlerContext().channel()
        if (channel.isOpen) channel.config().setOption(ChannelOption.SO_LINGER, 0)
        channel.close()
    }

    private suspend fun respond(status: Int, outcome: String, reason: String, message: String, retryAfter: Long?) {
        if (response.closed() || response.ended()) return
        response.statusCode = status
        response.putHeader(OUTCOME, outcome)
        response.putHeader(VIA, self.value)
        response.putHeader("Anvilshed-Reason", reason)
        retryAfter?.let { response.putHeader("Anvilshed-Retry-After-Ms", it.toString()) }
        response.putHeader("Content-Type", "application/json")
        closeIfLeaving()
        val body = JsonObject().put("outcome", outcome).put("reason", reason).put("message", message)
        retryAfter?.let { body.put("retry_after_ms", it) }
        response.end(body.toBuffer()).awaitIgnoringFailure()
    }

    private fun closeIfLeaving() {
        if (isLeaving()) response.putHeader("Connection", "close")
    }

    /** Ignores failures, because a request does not fail when its caller has gone away. */
    private suspend fun Future<Void>.awaitIgnoringFailure() {
        otherwiseEmpty().coAwait()
    }
}

private fun statusOf(reason: RefusalReason): Int = when (reason) {
    RefusalReason.MALFORMED -> 400
    RefusalReason.UNKNOWN_SERVICE, RefusalReason.UNKNOWN_KIND -> 404
    RefusalReason.BODY_TOO_LARGE -> 413
    RefusalReason.DEADLINE_PASSED -> 504
    else -> 503
}

private fun statusOf(reason: UnknownReason): Int = when (reason) {
    UnknownReason.OWNER_UNREACHABLE,
    UnknownReason.OWNER_REPLACED,
    UnknownReason.IDENTIFIER_EXPIRED,
    UnknownReason.STILL_RUNNING,
    UnknownReason.ANSWER_NOT_RETAINED,
    -> 409

    else -> 504
}
