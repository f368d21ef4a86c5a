package org.anvilshed.daemon.request

import io.vertx.core.buffer.Buffer
import org.anvilshed.core.TargetName
import org.anvilshed.wire.peer.HeaderField

/**
 * Start of a response.
 *
 * @property via entry VMs between the receiver and the target, the nearest to the receiver first.
 */
internal data class ResponseHead(
    val status: Int,
    val headers: List<HeaderField>,
    val target: TargetName?,
    val via: List<String> = emptyList(),
)

/**
 * Receiver of a response: a caller, a peer or a record. Each call suspends until the receiver is ready for more, so
 * that a slow receiver slows down the sender. A receiver that has gone away accepts and drops everything.
 */
internal interface ResponseSink {
    suspend fun begin(head: ResponseHead)

    suspend fun write(bytes: Buffer)

    /** Ends a complete response. */
    suspend fun end()
}
