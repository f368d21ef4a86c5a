package org.anvilshed.daemon.request

import io.github.oshai.kotlinlogging.KotlinLogging
import io.vertx.core.Context
import io.vertx.core.buffer.Buffer
import io.vertx.kotlin.coroutines.dispatcher
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import org.anvilshed.core.RefusalReason
import org.anvilshed.core.VmName
import org.anvilshed.core.lifecycle.DrainState
import org.anvilshed.daemon.DaemonClock
import org.anvilshed.daemon.limits.LinkPacer
import org.anvilshed.daemon.metrics.DaemonMetrics
import org.anvilshed.wire.peer.BodyChunk
import org.anvilshed.wire.peer.BodyEnd
import org.anvilshed.wire.peer.PeerLink
import org.anvilshed.wire.peer.PeerStream
import org.anvilshed.wire.peer.Refused
import org.anvilshed.wire.peer.RequestStart
import java.util.concurrent.atomic.AtomicInteger

private val logger = KotlinLogging.logger {}

/**
 * Serves requests that peers forward; distributes them over the event loops of [contexts].
 *
 * @param scope scope in which the requests run.
 */
internal class PeerRequestHandler(
    private val self: VmName,
    private val routing: RoutingState,
    private val requests: RequestHandler,
    private val drain: DrainState,
    private val metrics: DaemonMetrics,
    private val scope: CoroutineScope,
    private val contexts: List<Context>,
) {
    private val clock: DaemonClock = routing.clock
    private val next = AtomicInteger()

    /** Starts to serve the request that [start] begins; returns without waiting for its end. */
    fun accept(link: PeerLink, stream: PeerStream, start: RequestStart) {
        val arrivedAt = clock.now()
        val context = contexts[Math.floorMod(next.getAndIncrement(), contexts.size)]
        val job = scope.launch(context.dispatcher()) {
            if (!drain.begin()) {
                stream.send(Refused(stream.number, RefusalReason.LEAVING, null))
                stream.finish()
                return@launch
            }
            try {
                serve(link, stream, incomingOf(link, stream, start, arrivedAt))
            } catch (cancelled: CancellationException) {
                throw cancelled
            } catch (@Suppress("TooGenericExceptionCaught") fault: Throwable) {
                // The end of the stream tells the peer that the request may have run.
                metrics.recordUnexpectedFault()
                logger.error(fault) { "unexpected exception while a request of a peer was served" }
            } finally {
                drain.end()
                stream.cancel()
            }
        }
        stream.ended.invokeOnCompletion { job.cancel() }
    }

    private suspend fun serve(link: PeerLink, stream: PeerStream, incoming: IncomingRequest) {
        val pacer = LinkPacer(routing.linkLimiterOutOfRegion(link.remote.region), clock)
        val sink = PeerSink(stream, self, pacer)
        val result = requests.serve(incoming, sink)
        metrics.recordPeerRequest(result)
        sink.finish(result)
    }

    private fun incomingOf(
        link: PeerLink,
        stream: PeerStream,
        start: RequestStart,
        arrivedAt: org.anvilshed.core.MonotonicTime,
    ) = IncomingRequest(
        service = start.service.value,
        kind = start.kind?.value,
        method = start.method,
        path = start.path,
        headers = start.headers,
        deadlineMilliseconds = start.deadlineMilliseconds,
        arrivedAt = arrivedAt,
        identifier = start.requestIdentifier,
        declaredLength = start.headers.valueOrNull("content-length")?.toLongOrNull(),
        body = { nextChunk(stream) },
        peer = PeerOrigin(link.remote.region, start.mode, start.mayRun),
    )

    private suspend fun nextChunk(stream: PeerStream): Buffer? = when (val message = stream.receive()) {
        is BodyChunk -> Buffer.buffer(message.bytes)
        is BodyEnd -> null
        else -> throw IncompleteBodyException("the peer ended the request before the end of its body")
    }
}
