package org.anvilshed.gateway.callers

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpRequestDecoder
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import org.anvilshed.core.MonotonicTime
import org.anvilshed.gateway.MonotonicClock

/**
 * Decoder of HTTP/1.1 requests that rejects every request whose end could be read in two ways (RFC 9112, section 6.3),
 * also behind another request of the connection, and records since when a head has been incomplete.
 */
internal class CallerRequestDecoder(private val clock: MonotonicClock) :
    HttpRequestDecoder(
        HttpDecoderConfig().setMaxInitialLineLength(MAXIMUM_HEADER_BYTES).setMaxHeaderSize(MAXIMUM_HEADER_BYTES),
    ) {
    private var isBetweenRequests = true

    /** Whether nothing is decoded before [resume]. */
    var isPaused = false
        private set
    private lateinit var context: ChannelHandlerContext

    /** Sample of the line that made the latest head invalid; `null` if none was. */
    var refusedLine: String? = null
        private set

    /** When the first byte of a still incomplete head arrived; `null` if there is no incomplete head. */
    var incompleteSince: MonotonicTime? = null
        private set

    override fun handlerAdded(context: ChannelHandlerContext) {
        super.handlerAdded(context)
        this.context = context
    }

    /** Stops decoding and reading before the next request. */
    fun pause() {
        isPaused = true
        context.channel().config().isAutoRead = false
    }

    /** Decodes the bytes that were read before [pause], and reads on. */
    fun resume() {
        isPaused = false
        context.channel().config().isAutoRead = true
        channelRead(context, Unpooled.EMPTY_BUFFER)
    }

    override fun decode(context: ChannelHandlerContext, input: ByteBuf, output: MutableList<Any>) {
        if (isPaused && isBetweenRequests) return
        val start = input.readerIndex()
        val startsRequest = incompleteSince == null
        val beginsHead = isBetweenRequests && startsRequest && hasHeadByte(input)
        super.decode(context, input, output)
        for (message in output) {
            if (message is HttpMessage) {
                if (message.decoderResult().isFailure) refusedLine = readRefusedLine(input, start, startsRequest)
                isBetweenRequests = false
                incompleteSince = null
            }
            if (message is LastHttpContent) isBetweenRequests = true
        }
        if (beginsHead && output.isEmpty()) incompleteSince = clock()
    }

    /** Empty lines in front of a request (RFC 9112, section 2.2) do not begin its head. */
    private fun hasHeadByte(input: ByteBuf): Boolean =
        input.forEachByte { it == '\r'.code.toByte() || it == '\n'.code.toByte() } >= 0

    /** The bytes of an invalid head were skipped, but remain in the buffer until the next ones arrive. */
    private fun readRefusedLine(input: ByteBuf, start: Int, startsRequest: Boolean): String {
        val length = (input.writerIndex() - start).coerceIn(0, MAXIMUM_HEADER_BYTES)
        return RefusedText.offendingLine(input.toString(start, length, Charsets.ISO_8859_1), startsRequest)
    }

    /** Called once for each complete head; an exception makes the decoder report the request as invalid. */
    override fun isContentAlwaysEmpty(message: HttpMessage): Boolean {
        val headers = message.headers()
        val encodings = headers.getAll(HttpHeaderNames.TRANSFER_ENCODING)
        if (encodings.isNotEmpty()) {
            require(encodings.singleOrNull().equals("chunked", ignoreCase = true)) { "unsupported Transfer-Encoding" }
            require(HttpHeaderNames.CONTENT_LENGTH !in headers) { "Content-Length beside Transfer-Encoding" }
            require(message.protocolVersion() == HttpVersion.HTTP_1_1) { "Transfer-Encoding in HTTP/1.0" }
        }
        return super.isContentAlwaysEmpty(message)
    }

    companion object {
        /** Longest request line, and longest header section of a request. */
        const val MAXIMUM_HEADER_BYTES = 65_536
    }
}
