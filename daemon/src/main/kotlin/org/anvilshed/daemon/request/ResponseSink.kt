package org.anvilshed.daemon.request

import io.vertx.core.buffer.Buffer
import org.anvilshed.core.TargetName
import org.anvilshed.wire.peer.HeaderField

/**
 * Status and headers of a response.
 *
 * @property target target that sent the response, or `null` if it is not known.
 * @property via other entry VMs that passed the response on, the one nearest to the receiver first.
 */
internal data class ResponseHead(
    val status: Int,
    val headers: List<HeaderField>,
    val target: TargetName?,
    val via: List<String> = emptyList(),
)

/**
 * Receiver of a response: a caller, a peer or a record. Each call suspends until the receiver can take more data, so
 * that a slow receiver slows down the sender. If the receiver has gone away, all calls succeed and the data is dropped.
 */
internal interface ResponseSink {
    /** Starts the response. Must be called before [write] and [end]. */
    suspend fun begin(head: ResponseHead)

    /** Sends the next bytes of the body. */
    suspend fun write(bytes: Buffer)

    /** Ends the response, whose body is complete. */
    suspend fun end()
}
