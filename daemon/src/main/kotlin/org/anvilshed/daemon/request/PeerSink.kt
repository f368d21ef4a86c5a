package org.anvilshed.daemon.request

import io.vertx.core.buffer.Buffer
import org.anvilshed.core.VmName
import org.anvilshed.daemon.limits.LinkPacer
import org.anvilshed.wire.peer.BodyEnd
import org.anvilshed.wire.peer.OutcomeUnknown
import org.anvilshed.wire.peer.PeerStream
import org.anvilshed.wire.peer.Refused
import org.anvilshed.wire.peer.ResponseStart

/**
 * Sends a response to the peer that forwarded the request.
 *
 * @param pacer delays the body, so that it stays within the limit of the link to the peer's region.
 */
internal class PeerSink(private val stream: PeerStream, private val self: VmName, private val pacer: LinkPacer) :
    ResponseSink {
    override suspend fun begin(head: ResponseHead) {
        val via = listOf(self.value) + head.via
        stream.send(ResponseStart(stream.number, head.status, head.headers, head.target?.value, via))
    }

    override suspend fun write(bytes: Buffer) {
        pacer.await(bytes.length())
        stream.sendBody(bytes.bytes)
    }

    override suspend fun end() {
        stream.send(BodyEnd(stream.number))
    }

    /** Sends [result] to the peer if no complete response was sent, and ends the stream. */
    suspend fun finish(result: ServeResult) {
        when (result) {
            ServeResult.Answered -> Unit

            ServeResult.Broken -> {
                stream.cancel()
                return
            }

            is ServeResult.NotRun ->
                stream.send(Refused(stream.number, result.reason, result.retryAfter?.inWholeMilliseconds))

            is ServeResult.Unknown -> stream.send(OutcomeUnknown(stream.number, result.reason))
        }
        stream.finish()
    }
}
