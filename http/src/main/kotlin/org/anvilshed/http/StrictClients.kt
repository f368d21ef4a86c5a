package org.anvilshed.http

import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.http.HttpClientCodec
import io.vertx.core.http.HttpClientBuilder
import io.vertx.core.http.HttpConnection
import io.vertx.core.http.impl.HttpClientConnectionInternal
import io.vertx.core.http.impl.UnpooledHttpClientConnection
import io.vertx.core.net.SocketAddress
import java.lang.reflect.Field

/** Default of Vert.x for the longest header section. */
private const val DEFAULT_MAXIMUM_HEADER_BYTES = 8_192

/**
 * Makes the client close each connection on which bytes outside a response are received, see [StrictClientCodec].
 *
 * @param onStrayBytes called with the address of the server and with the first of such bytes as text.
 */
public fun HttpClientBuilder.withStrictResponses(
    onStrayBytes: (SocketAddress, String) -> Unit = { _, _ -> },
): HttpClientBuilder = withConnectHandler { connection ->
    connection.useStrictCodec { bytes ->
        // Takes the connection out of the pool now: with the end of the response, a waiting request would get it.
        connection.shutdown()
        onStrayBytes(connection.remoteAddress(), bytes)
    }
}

/**
 * Replaces the codec of this connection to a server by a [StrictClientCodec]. Must be called on the event loop of the
 * connection before the first request is written.
 *
 * @param maximumHeaderBytes longest header section of a response.
 * @param onStrayBytes called with the first bytes outside a response, as text.
 */
public fun HttpConnection.useStrictCodec(
    maximumHeaderBytes: Int = DEFAULT_MAXIMUM_HEADER_BYTES,
    onStrayBytes: (String) -> Unit,
): StrictClientCodec {
    val codec = StrictClientCodec(maximumHeaderBytes, onStrayBytes)
    val pipeline = channelHandlerContext(this).pipeline()
    // A connection that was reset in the meantime has no handlers any more.
    if (pipeline.get(HttpClientCodec::class.java) == null) {
        codec.invalidate()
    } else {
        pipeline.replace(HttpClientCodec::class.java, "codec", codec)
    }
    return codec
}

/** Closes this connection to a server without waiting until everything that was written to it has been sent. */
public fun HttpConnection.closeImmediately() {
    // The close of Vert.x is queued behind unsent data, which a server that does not read never takes.
    channelHandlerContext(this).close()
}

/** Vert.x has no public access to the channel of a connection that is not pooled. */
private val unpooledConnection: Field =
    UnpooledHttpClientConnection::class.java.getDeclaredField("actual").apply { isAccessible = true }

private fun channelHandlerContext(connection: HttpConnection): ChannelHandlerContext {
    val pooled = if (connection is UnpooledHttpClientConnection) unpooledConnection.get(connection) else connection
    return (pooled as HttpClientConnectionInternal).channelHandlerContext()
}
