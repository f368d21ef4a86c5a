package org.anvilshed.gateway

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.util.ReferenceCountUtil
import org.anvilshed.core.MonotonicTime

/**
 * Netty handler that inspects the head of each request on a caller's connection before the HTTP decoder.
 *
 * It rejects heads with both `Content-Length` and `Transfer-Encoding`, which the decoder accepts and which allow
 * request smuggling, and records since when a head has been incomplete. Heads that are pipelined behind another request
 * are not inspected.
 */
internal class RequestHeadGuard(private val clock: MonotonicClock) : ChannelInboundHandlerAdapter() {
    private val head = StringBuilder()
    private var expectsHead = true

    /** When the first byte of a still incomplete head arrived; `null` if there is no incomplete head. */
    var incompleteSince: MonotonicTime? = null
        private set

    /** Called when the response to a request is complete, so that the next bytes start a new head. */
    fun requestEnded() {
        expectsHead = true
    }

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        if (expectsHead && message is ByteBuf && hasAmbiguousFraming(message)) {
            ReferenceCountUtil.release(message)
            val response = Unpooled.copiedBuffer(BAD_REQUEST, Charsets.US_ASCII)
            context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE)
            return
        }
        context.fireChannelRead(message)
    }

    /** Adds [bytes] to the head; returns whether the head is complete and its framing ambiguous. */
    private fun hasAmbiguousFraming(bytes: ByteBuf): Boolean {
        if (head.isEmpty()) incompleteSince = clock()
        head.append(bytes.toString(Charsets.ISO_8859_1))
        val end = head.indexOf(HEAD_END)
        // The decoder rejects longer heads.
        if (end < 0 && head.length <= MAXIMUM_HEAD_BYTES) return false
        val text = head.substring(0, if (end < 0) 0 else end).lowercase()
        head.setLength(0)
        expectsHead = false
        incompleteSince = null
        return "\ncontent-length:" in text && "\ntransfer-encoding:" in text
    }

    private companion object {
        const val HEAD_END = "\r\n\r\n"
        const val MAXIMUM_HEAD_BYTES = 65_536
        const val BAD_REQUEST = "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
    }
}
