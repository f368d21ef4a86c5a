package org.anvilshed.gateway

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.util.ReferenceCountUtil
import org.anvilshed.core.MonotonicTime

/**
 * Reads the head of each request on a caller's connection before the HTTP decoder does.
 *
 * It refuses heads that state both a length and chunks, which the decoder would accept, and it knows since when a head
 * has been incomplete. Heads that are pipelined behind another request are left to the decoder.
 */
internal class RequestHeadGuard(private val clock: MonotonicClock) : ChannelInboundHandlerAdapter() {
    private val head = StringBuilder()
    private var expectsHead = true

    /** When the first byte of a head arrived that is not complete; `null` if there is none. */
    var incompleteSince: MonotonicTime? = null
        private set

    /** Called when the answer to a request is complete, so that the next bytes begin a new head. */
    fun requestEnded() {
        expectsHead = true
    }

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        if (expectsHead && message is ByteBuf && isRefused(message)) {
            ReferenceCountUtil.release(message)
            val answer = Unpooled.copiedBuffer(BAD_REQUEST, Charsets.US_ASCII)
            context.writeAndFlush(answer).addListener(ChannelFutureListener.CLOSE)
            return
        }
        context.fireChannelRead(message)
    }

    private fun isRefused(bytes: ByteBuf): Boolean {
        if (head.isEmpty()) incompleteSince = clock()
        head.append(bytes.toString(Charsets.ISO_8859_1))
        val end = head.indexOf(HEAD_END)
        // The decoder enforces the largest size of a head; beyond it there is nothing to add.
        if (end < 0 && head.length <= LARGEST_HEAD) return false
        val text = head.substring(0, if (end < 0) 0 else end).lowercase()
        head.setLength(0)
        expectsHead = false
        incompleteSince = null
        return "\ncontent-length:" in text && "\ntransfer-encoding:" in text
    }

    private companion object {
        const val HEAD_END = "\r\n\r\n"
        const val LARGEST_HEAD = 65_536
        const val BAD_REQUEST = "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
    }
}
