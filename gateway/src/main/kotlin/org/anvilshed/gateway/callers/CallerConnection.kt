package org.anvilshed.gateway.callers

import io.netty.buffer.ByteBufUtil
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelOption
import io.netty.channel.socket.DuplexChannel
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import io.vertx.core.Future
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpMethod
import io.vertx.core.internal.buffer.BufferInternal
import io.vertx.core.internal.net.NetSocketInternal
import io.vertx.kotlin.coroutines.coAwait
import org.anvilshed.core.MonotonicTime
import org.anvilshed.core.ingress.CallerLimits
import org.anvilshed.gateway.MemoryBudget
import org.anvilshed.gateway.MonotonicClock
import java.util.concurrent.TimeUnit

/**
 * HTTP/1.1 connection of a caller. Each request is served as soon as it is read; the responses are written in the order
 * of the requests. Confined to the event loop.
 *
 * Reading stops while [MAXIMUM_PIPELINED_REQUESTS] requests are unanswered. After a response that closes the
 * connection, the requests behind it are aborted: their callers send them again.
 *
 * @param decoder decoder of the connection's pipeline.
 * @param bodyMemory memory for the bodies of all requests of the process.
 * @param maximumBodyBytes longest body that a request may have at present.
 * @param isLeaving whether this VM is shutting down; the last response then closes the connection.
 * @param serve called for each request, in the event loop iteration in which its head was read.
 * @param onFault called with each unexpected exception while a request is read.
 */
internal class CallerConnection(
    private val socket: NetSocketInternal,
    private val decoder: CallerRequestDecoder,
    private val clock: MonotonicClock,
    private val bodyMemory: MemoryBudget,
    private val maximumBodyBytes: () -> Long,
    private val isLeaving: () -> Boolean,
    private val serve: (CallerRequest) -> Unit,
    private val onFault: (Throwable) -> Unit,
) {
    private val unanswered = ArrayDeque<CallerRequest>()
    private var receiving: CallerRequest? = null
    private var unflushedWrites = 0
    private var lastProgress: MonotonicTime = clock()
    private var isClosing = false

    /** Whether a request has no complete response, or a response has not been passed to the operating system. */
    val isBusy: Boolean
        get() = unanswered.isNotEmpty() || unflushedWrites > 0

    /** Handles a [message] of the decoder; after an unexpected exception, the connection is reset. */
    @Suppress("TooGenericExceptionCaught")
    fun receive(message: Any) {
        try {
            if (isClosing) return
            // Nothing is expected behind a request that closes the connection.
            if (message is HttpRequest && unanswered.lastOrNull()?.closesConnection != true) startRequest(message)
            if (message is HttpContent) receiveContent(message)
        } catch (fault: Throwable) {
            onFault(fault)
            reset(RequestEnd.BEHIND_CLOSING_RESPONSE)
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    /** Aborts all requests after the connection was closed. */
    fun closed() {
        isClosing = true
        abortUnanswered(RequestEnd.CALLER_LEFT)
    }

    /**
     * Writes the whole response to [request], whose turn must have come, and suspends until the operating system has
     * taken it; returns `false` if the connection failed before.
     */
    suspend fun respond(request: CallerRequest, head: ResponseHead, responseBody: Buffer): Boolean {
        if (isClosing || request.isEnded) return false
        val closes = closesAfter(request, head)
        val isBodiless = request.method == HttpMethod.HEAD || head.status in BODILESS_STATUSES
        val bytes = if (isBodiless) Unpooled.EMPTY_BUFFER else (responseBody as BufferInternal).byteBuf
        val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(head.status), bytes)
        addHeaders(response, head, closes)
        val length = if (isBodiless) head.contentLength else responseBody.length().toString()
        if (length != null) response.headers().set(HttpHeaderNames.CONTENT_LENGTH, length)
        val write = write(response)
        complete(request, closes, write)
        return write.map(true).otherwise(false).coAwait()
    }

    /** Resets the connection unless the response to [request], whose turn must have come, is complete. */
    fun abandon(request: CallerRequest) {
        if (isClosing || request.isEnded) return
        unanswered.remove(request)
        request.completed()
        reset(RequestEnd.BEHIND_CLOSING_RESPONSE)
    }

    /** Starts a streamed response to [request]. */
    fun startStream(request: CallerRequest, head: ResponseHead): ResponseStream {
        val isChunked = head.contentLength == null && request.isVersion11
        // Without either framing the end of the connection is the end of the body.
        val closes = closesAfter(request, head) || (head.contentLength == null && !isChunked)
        val response = DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(head.status))
        addHeaders(response, head, closes)
        if (head.contentLength != null) response.headers().set(HttpHeaderNames.CONTENT_LENGTH, head.contentLength)
        if (isChunked) response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, "chunked")
        write(response)
        return CallerResponseStream(request, closes)
    }

    /**
     * Closes the connection if, for longer than [limits] allow, it was idle, its next request had an incomplete head,
     * or the caller did not read a response.
     */
    fun closeIfStalled(limits: CallerLimits, now: MonotonicTime) {
        val headSince = decoder.incompleteSince
        when {
            isClosing -> return
            headSince != null -> if (now - headSince >= limits.headerTimeout) close(lastWrite = null)
            now - lastProgress < limits.idleTimeout -> return
            unflushedWrites > 0 -> reset(RequestEnd.CALLER_LEFT)
            unanswered.isEmpty() -> close(lastWrite = null)
        }
    }

    /** Closes the connection if no request is in progress. */
    fun closeIfIdle() {
        if (!isClosing && !isBusy) close(lastWrite = null)
    }

    private fun startRequest(head: HttpRequest) {
        val request = CallerRequest(this, head, decoder.refusedLine, clock(), maximumBodyBytes(), bodyMemory)
        unanswered.addLast(request)
        receiving = request
        if (unanswered.size == 1) giveTurn(request)
        serve(request)
        updateReading()
    }

    private fun receiveContent(content: HttpContent) {
        val request = receiving ?: return
        request.receiveBody(ByteBufUtil.getBytes(content.content()))
        val isInvalid = content.decoderResult().isFailure
        if (content is LastHttpContent || isInvalid) {
            receiving = null
            request.bodyEnded(content.decoderResult().cause())
        }
    }

    private fun write(message: Any): Future<Void> {
        unflushedWrites++
        return socket.writeMessage(message).onComplete {
            unflushedWrites--
            lastProgress = clock()
        }
    }

    /** Gives the turn to the request behind [request], whose response ends with [lastWrite]. */
    private fun complete(request: CallerRequest, closes: Boolean, lastWrite: Future<Void>) {
        unanswered.remove(request)
        request.completed()
        if (closes) return close(lastWrite)
        val next = unanswered.firstOrNull()
        if (next != null) giveTurn(next)
        updateReading()
    }

    private fun giveTurn(request: CallerRequest) {
        if (request.expectsContinue && !request.isBodyEnded) write(CONTINUE.retainedDuplicate())
        request.turnCame()
    }

    private fun closesAfter(request: CallerRequest, head: ResponseHead): Boolean {
        // The unread rest of a body would be taken for the next request.
        val isUnread = !request.isBodyEnded
        val isLast = unanswered.size == 1
        return head.closesConnection || request.closesConnection || isUnread || (isLeaving() && isLast)
    }

    private fun addHeaders(response: HttpResponse, head: ResponseHead, closes: Boolean) {
        for ((name, value) in head.headers) response.headers().add(name, value)
        if (closes) response.headers().set(HttpHeaderNames.CONNECTION, "close")
    }

    /**
     * Closes the connection after [lastWrite]. Bytes that the caller is still sending are read and dropped for a while:
     * closing a socket with unread bytes resets the connection, and the caller may then lose the response.
     */
    private fun close(lastWrite: Future<Void>?) {
        isClosing = true
        abortUnanswered(RequestEnd.BEHIND_CLOSING_RESPONSE)
        if (decoder.isPaused) decoder.resume()
        val channel = socket.channelHandlerContext().channel()
        val shutDownOutput = {
            (channel as DuplexChannel).shutdownOutput()
            channel.eventLoop().schedule({ socket.close() }, LINGER_MILLIS, TimeUnit.MILLISECONDS)
        }
        if (lastWrite == null) shutDownOutput() else lastWrite.onComplete { shutDownOutput() }
    }

    /** Resets the connection, so that the caller can't take an incomplete response for a complete one. */
    private fun reset(end: RequestEnd) {
        isClosing = true
        abortUnanswered(end)
        val channel = socket.channelHandlerContext().channel()
        // A failed write closes the channel before the connection is reported as closed.
        if (channel.isOpen) channel.config().setOption(ChannelOption.SO_LINGER, 0)
        channel.close()
    }

    private fun abortUnanswered(end: RequestEnd) {
        val aborted = unanswered.toList()
        unanswered.clear()
        aborted.forEach { it.abort(end) }
    }

    private fun updateReading() {
        val mayRead = unanswered.size < MAXIMUM_PIPELINED_REQUESTS
        if (mayRead != decoder.isPaused || isClosing) return
        if (mayRead) decoder.resume() else decoder.pause()
    }

    private inner class CallerResponseStream(private val request: CallerRequest, private val closes: Boolean) :
        ResponseStream {
        override val isFull: Boolean
            get() = socket.writeQueueFull()

        override fun write(chunk: Buffer) {
            if (!isClosing) write(DefaultHttpContent((chunk as BufferInternal).byteBuf))
        }

        override fun onDrained(action: () -> Unit) {
            socket.drainHandler { action() }
        }

        override fun end() {
            if (!isClosing) complete(request, closes, write(LastHttpContent.EMPTY_LAST_CONTENT))
        }

        override fun abort(): Unit = abandon(request)
    }

    private companion object {
        /** Callers that send requests ahead rarely have more than a few unanswered. */
        const val MAXIMUM_PIPELINED_REQUESTS = 32

        /** Longer than a round trip between a caller and this VM. */
        const val LINGER_MILLIS = 500L

        /** Responses that never have a body (RFC 9110, sections 15.3.5 and 15.4.5). */
        val BODILESS_STATUSES = setOf(204, 304)
        val CONTINUE = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE)
    }
}

/** Body of a response that is written as it arrives. Confined to the event loop. */
internal interface ResponseStream {
    /** Whether the caller reads more slowly than bytes are written, so that the source should pause. */
    val isFull: Boolean

    /** Writes the next bytes of the body. */
    fun write(chunk: Buffer)

    /** Calls [action] once [isFull] is `false` again. */
    fun onDrained(action: () -> Unit)

    /** Completes the response. */
    fun end()

    /** Breaks the response off, so that the caller sees that it is incomplete. */
    fun abort()
}
