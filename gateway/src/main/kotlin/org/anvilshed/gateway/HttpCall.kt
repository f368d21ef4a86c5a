package org.anvilshed.gateway

import io.netty.handler.codec.DecoderException
import io.vertx.core.MultiMap
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpClient
import io.vertx.core.http.RequestOptions
import io.vertx.kotlin.coroutines.coAwait
import java.io.IOException

/** The server's response is not valid HTTP. */
public class InvalidResponseException(cause: Throwable) : IOException("invalid response: ${cause.message}", cause)

/** Whole response to a [call]. */
public class CallResponse(public val status: Int, public val headers: MultiMap, public val body: Buffer)

/** Numbers of calls in progress, by what they wait for. Confined to the event loop. */
public class PendingCalls {
    /** Calls that wait for a connection, be it a new one or one of the pool. */
    public var forConnection: Int = 0
        internal set

    /** Calls that have a connection and wait for their response. */
    public var forResponse: Int = 0
        internal set
}

/**
 * Sends a request with [options] and an optional [body], and returns the whole response.
 *
 * The call owns its connection until it ends. If it is cancelled or fails, the connection is closed, also one that the
 * client opens, or that becomes free in its pool, only later. A connection that an abandoned request keeps is never
 * free again, and a few of them exhaust the pool.
 *
 * [RequestOptions.setConnectTimeout] bounds the time for obtaining a connection, also after the call was cancelled.
 *
 * @param pending counts the call while it is in progress.
 * @throws IOException if the connection fails or the response is not valid HTTP.
 * @throws io.vertx.core.VertxException if the connection is closed before the response is complete.
 * @throws java.util.concurrent.TimeoutException if no connection was obtained in time.
 */
public suspend fun HttpClient.call(
    options: RequestOptions,
    body: Buffer? = null,
    pending: PendingCalls = PendingCalls(),
): CallResponse {
    val opening = request(options)
    var isComplete = false
    try {
        pending.forConnection++
        val request = try {
            opening.coAwait()
        } finally {
            pending.forConnection--
        }
        pending.forResponse++
        val response = try {
            val sent = if (body == null) request.send() else request.send(body)
            sent.compose { head -> head.body().map { CallResponse(head.statusCode(), head.headers(), it) } }.coAwait()
        } catch (fault: IllegalArgumentException) {
            throw InvalidResponseException(fault)
        } catch (fault: DecoderException) {
            throw InvalidResponseException(fault)
        } finally {
            pending.forResponse--
        }
        isComplete = true
        return response
    } finally {
        if (!isComplete) opening.onSuccess { it.reset() }
    }
}
