package org.anvilshed.http

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelOption
import io.netty.channel.ChannelPromise
import io.netty.channel.CombinedChannelDuplexHandler
import io.netty.channel.socket.ChannelInputShutdownEvent
import io.netty.handler.codec.DecoderResult
import io.netty.handler.codec.http.DefaultLastHttpContent
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpRequestEncoder
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseDecoder
import io.netty.handler.codec.http.HttpStatusClass
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.AsciiString
import io.netty.util.ReferenceCountUtil
import java.io.IOException

/** A request was not written because bytes outside a response had been received on its connection. */
public class StrayBytesException : IOException("bytes outside a response were received on the connection")

/**
 * Codec of a client's HTTP/1.1 connection on which each byte belongs to the response of exactly one request.
 *
 * Bytes other than line ends that are received while no response is due make the connection unusable: nothing is
 * written on it any more, and it is closed once the last response is delivered. Without that, they would wait in the
 * decoder and become the beginning of the next response. A head that contains parts of two responses is invalid, since
 * such bytes may also arrive after the next request was sent.
 *
 * A response without a length or chunks is complete only if the server has closed its side of the connection in an
 * orderly way. It stays without an end if the connection is reset, a write fails, or this side closes the connection.
 *
 * Interim responses (1xx) are dropped. Confined to the event loop of the connection.
 *
 * @param maximumHeaderBytes longest header section of a response.
 * @param onStrayBytes called once if bytes outside a response are received, with the first of them as text.
 */
public class StrictClientCodec(maximumHeaderBytes: Int, private val onStrayBytes: (String) -> Unit) :
    CombinedChannelDuplexHandler<HttpResponseDecoder, HttpRequestEncoder>() {
    /** Methods of the requests whose responses are not complete, oldest first. */
    private val unanswered = ArrayDeque<HttpMethod>()

    /** The first bytes outside a response as text; `null` if there are none. */
    public var strayBytes: String? = null
        private set

    /** Whether every byte received so far belongs to a valid response. */
    public var isClean: Boolean = true
        private set

    /** Whether reading has failed; a failed write closes the channel. */
    private var hasReadFailed = false

    /** Whether the server has closed its side of the connection in an orderly way. */
    private var isEndOfStreamRead = false

    init {
        this.init(ResponseDecoder(maximumHeaderBytes), HttpRequestEncoder())
    }

    /** Makes the connection unusable. */
    internal fun invalidate() {
        isClean = false
    }

    override fun handlerAdded(context: ChannelHandlerContext) {
        // Makes the end of the stream an event of its own. By default the channel closes, as it does after a failure.
        context.channel().config().setOption(ChannelOption.ALLOW_HALF_CLOSURE, true)
        super.handlerAdded(context)
    }

    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        if (cause is IOException) hasReadFailed = true
        super.exceptionCaught(context, cause)
    }

    override fun userEventTriggered(context: ChannelHandlerContext, event: Any) {
        // Also triggered after a failed read.
        if (event is ChannelInputShutdownEvent) isEndOfStreamRead = !hasReadFailed
        super.userEventTriggered(context, event)
        if (event is ChannelInputShutdownEvent) context.close()
    }

    override fun write(context: ChannelHandlerContext, message: Any, promise: ChannelPromise) {
        if (!isClean) {
            ReferenceCountUtil.release(message)
            promise.tryFailure(StrayBytesException())
            context.close()
            return
        }
        if (message is HttpRequest) unanswered.addLast(message.method())
        super.write(context, message, promise)
    }

    private inner class ResponseDecoder(maximumHeaderBytes: Int) :
        HttpResponseDecoder(HttpDecoderConfig().setMaxHeaderSize(maximumHeaderBytes)) {
        private val syntax = ResponseSyntaxChecker()
        private var isInterim = false

        override fun decode(context: ChannelHandlerContext, input: ByteBuf, output: MutableList<Any>) {
            if (isClean && unanswered.isEmpty()) rejectStrayBytes(input)
            if (!isClean) {
                input.skipBytes(input.readableBytes())
                context.close()
                return
            }
            syntax.check(input)
            val fault = syntax.fault
            if (fault == null) {
                val start = input.readerIndex()
                super.decode(context, input, output)
                syntax.onConsumed(input.readerIndex() - start)
            } else {
                input.skipBytes(input.readableBytes())
                output.add(invalidMessage(fault))
            }
            output.forEach(::observe)
            if (isInterim) output.clear()
            // Also rejected here, before the end of the response is passed on and the connection is used again.
            if (isClean && unanswered.isEmpty()) rejectStrayBytes(input)
        }

        /** Called at the end of the stream and when the channel has closed; ends a close-delimited response. */
        override fun decodeLast(context: ChannelHandlerContext, input: ByteBuf, output: MutableList<Any>) {
            if (!isEndOfStreamRead || !isClean) return
            super.decodeLast(context, input, output)
            output.forEach(::observe)
        }

        private fun observe(message: Any) {
            if (message is HttpResponse) {
                isInterim = message.status().codeClass() == HttpStatusClass.INFORMATIONAL &&
                    message.decoderResult().isSuccess
                syntax.onHead(HttpUtil.isTransferEncodingChunked(message))
            }
            if (message is HttpObject && message.decoderResult().isFailure) isClean = false
            if (message is LastHttpContent) {
                syntax.onEnd()
                if (!isInterim) unanswered.removeFirstOrNull()
            }
        }

        /** Returns the message by which a decoder reports that the current response is invalid. */
        private fun invalidMessage(fault: String): HttpObject {
            val message = if (syntax.isInHead) createInvalidMessage() else DefaultLastHttpContent()
            message.decoderResult = DecoderResult.failure(IllegalArgumentException(fault))
            return message
        }

        private fun rejectStrayBytes(input: ByteBuf) {
            // Decoders ignore line ends in front of a status line, so these become part of no response.
            val first = input.forEachByte { it == '\r'.code.toByte() || it == '\n'.code.toByte() }
            input.skipBytes(if (first < 0) input.readableBytes() else first - input.readerIndex())
            if (first < 0) return
            isClean = false
            val sampleLength = minOf(input.readableBytes(), SAMPLE_BYTES)
            val sample = input.toString(input.readerIndex(), sampleLength, Charsets.ISO_8859_1)
            val text = sample.map(::printable).joinToString("")
            strayBytes = text
            onStrayBytes(text)
        }

        override fun createMessage(initialLine: Array<String>): HttpMessage {
            val (version, status, reason) = initialLine
            statusLineFaultOrNull(version, status, reason)?.let { throw IllegalArgumentException("status line: $it") }
            return super.createMessage(initialLine)
        }

        /** A name that is followed by anything but a colon may be the rest of two merged lines. */
        override fun splitHeaderName(line: ByteArray, start: Int, length: Int): AsciiString {
            require(line.getOrNull(start + length) == ':'.code.toByte()) { "no colon behind the name of a field" }
            return super.splitHeaderName(line, start, length)
        }

        /** Called once for each complete head; an exception makes the decoder report the response as invalid. */
        override fun isContentAlwaysEmpty(message: HttpMessage): Boolean {
            val headers = message.headers()
            require(headers.none { containsStatusLine(it.value) }) { "status line inside a field" }
            val codings = headers.getAll(HttpHeaderNames.TRANSFER_ENCODING)
            if (codings.isNotEmpty()) {
                require(codings.singleOrNull().equals("chunked", ignoreCase = true)) { "unsupported Transfer-Encoding" }
                require(HttpHeaderNames.CONTENT_LENGTH !in headers) { "Content-Length beside Transfer-Encoding" }
                require(message.protocolVersion() == HttpVersion.HTTP_1_1) { "Transfer-Encoding in HTTP/1.0" }
            }
            return unanswered.firstOrNull() == HttpMethod.HEAD || super.isContentAlwaysEmpty(message)
        }
    }

    private companion object {
        /** Enough to recognise the beginning of a response. */
        const val SAMPLE_BYTES = 48
    }
}
