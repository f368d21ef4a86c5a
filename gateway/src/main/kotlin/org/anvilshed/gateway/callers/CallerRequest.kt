package org.anvilshed.gateway.callers

import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpUtil
import io.vertx.core.MultiMap
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpHeaders
import io.vertx.core.http.HttpMethod
import kotlinx.coroutines.CompletableDeferred
import org.anvilshed.core.MonotonicTime
import org.anvilshed.gateway.HeldBytes
import org.anvilshed.gateway.MemoryBudget

/**
 * Head of a response to a caller.
 *
 * @property headers headers without those that concern only the connection.
 * @property contentLength length of the body as the target stated it, for a response that is streamed or has no body;
 *   `null` if the target did not state it.
 * @property closesConnection whether the connection must not be used after the response.
 */
internal class ResponseHead(
    val status: Int,
    val headers: MultiMap,
    val contentLength: String? = null,
    val closesConnection: Boolean = false,
)

/** Why a request ended without a response. */
internal enum class RequestEnd(val label: String) {
    /** The caller closed the connection, or it failed. */
    CALLER_LEFT("caller-left"),

    /** The response to an earlier request of the connection closed it, so the caller sends this request again. */
    BEHIND_CLOSING_RESPONSE("behind-closing-response"),
}

/**
 * Request that a caller sent on [connection]. Confined to the event loop.
 *
 * @param refusedLine sample of the line that makes [head] invalid, if it is.
 * @property arrivedAt when the head of the request was complete.
 */
internal class CallerRequest(
    private val connection: CallerConnection,
    head: HttpRequest,
    refusedLine: String?,
    val arrivedAt: MonotonicTime,
    private val maximumBodyBytes: Long,
    bodyMemory: MemoryBudget,
) {
    val method: HttpMethod = HttpMethod.valueOf(head.method().name())
    private val target = RequestTarget.parse(head.uri())

    /** Path and query, without the host that an absolute URI states. */
    val uri: String = target.pathAndQuery
    val path: String = target.path
    val headers: MultiMap = HttpHeaders.headers().apply {
        for ((name, value) in head.headers().iteratorAsString()) add(name, value)
        // The host of an absolute URI replaces the header (RFC 9112, section 3.2.2).
        if (target.authority != null) set(HttpHeaders.HOST, target.authority)
    }

    /** Why the head is invalid; `null` if it is valid. */
    val fault: Throwable? = head.decoderResult().cause()

    /** What makes the head or the body invalid, for the log; `null` if both are valid. */
    var faultSample: String? = fault?.let { "$refusedLine ($it)" }
        private set

    /** Completes with the body, or as soon as it is known that the body can't be used. */
    val body = CompletableDeferred<BodyResult>()

    /** Whether all bytes of the request were read, so that the bytes behind it belong to the next one. */
    var isBodyEnded = false
        private set

    /** Called when the request ends without a response that was written completely. */
    var onAborted: (RequestEnd) -> Unit = {}

    /** Whether the caller knows persistent connections and chunked bodies. */
    val isVersion11: Boolean = head.protocolVersion().minorVersion() > 0

    /** Whether the caller expects the connection to close after the response. */
    val closesConnection: Boolean = !isVersion11 || !HttpUtil.isKeepAlive(head)

    /** Whether the caller sends its body only after an interim response. */
    val expectsContinue: Boolean = HttpUtil.is100ContinueExpected(head)

    private val turn = CompletableDeferred<Unit>()

    /** Whether the response was written, or the request ended without one. */
    var isEnded = false
        private set
    private val bodyReservation = bodyMemory.newReservation()
    private val received = HeldBytes(bodyReservation)

    init {
        // The length of an invalid head may be no number.
        if (fault == null && HttpUtil.getContentLength(head, 0L) > maximumBodyBytes) body.complete(BodyResult.TooLong)
    }

    /** Returns the value of the first header [name], or `null`. */
    fun header(name: String): String? = headers.get(name)

    /**
     * Writes the response [head] with [responseBody] once the responses to all earlier requests are complete.
     *
     * Suspends until the operating system has taken the last byte; returns `false` if the connection failed before.
     */
    suspend fun respond(head: ResponseHead, responseBody: Buffer): Boolean {
        awaitTurn()
        return connection.respond(this, head, responseBody)
    }

    /** Suspends until the responses to all earlier requests of the connection are complete. */
    suspend fun awaitTurn(): Unit = turn.await()

    /** Starts a streamed response once the responses to all earlier requests are complete. */
    suspend fun startStream(head: ResponseHead): ResponseStream {
        awaitTurn()
        return connection.startStream(this, head)
    }

    /** Called by the connection when the responses to all earlier requests are complete. */
    fun turnCame() {
        turn.complete(Unit)
    }

    /** Adds a chunk of the body. */
    fun receiveBody(chunk: ByteArray) {
        if (body.isCompleted || chunk.isEmpty()) return
        when {
            received.length + chunk.size > maximumBodyBytes -> body.complete(BodyResult.TooLong)
            !received.tryAppend(Buffer.buffer(chunk)) -> body.complete(BodyResult.NoMemory)
        }
        if (body.isCompleted) releaseBody()
    }

    /** Records that the whole request was read; [cause] is not `null` if its body is malformed. */
    fun bodyEnded(cause: Throwable?) {
        val isValid = cause == null
        isBodyEnded = isValid
        if (cause != null && fault == null) faultSample = RefusedText.sample(cause.toString())
        val result = if (isValid) BodyResult.Read(received.takeIf { it.length > 0 }?.toBuffer()) else BodyResult.Broken
        body.complete(result)
    }

    /** Releases the memory of the body, which must not be used any more. */
    fun releaseBody(): Unit = bodyReservation.release()

    /** Records that the response was written completely. */
    fun completed() {
        isEnded = true
    }

    /** Resets the connection, so that the caller does not wait for a response that will never be complete. */
    fun abandon(): Unit = connection.abandon(this)

    /** Ends the request without a response. */
    fun abort(end: RequestEnd) {
        if (isEnded) return
        isEnded = true
        onAborted(end)
    }
}
