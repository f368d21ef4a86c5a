package org.anvilshed.daemon.request

import io.vertx.core.buffer.Buffer
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.anvilshed.core.MonotonicTime
import org.anvilshed.core.RefusalReason
import org.anvilshed.core.RetryReason
import org.anvilshed.core.TargetName
import org.anvilshed.core.UnknownReason
import org.anvilshed.daemon.DaemonClock
import org.anvilshed.daemon.limits.LinkPacer
import org.anvilshed.daemon.remaining
import org.anvilshed.wire.peer.BodyChunk
import org.anvilshed.wire.peer.BodyEnd
import org.anvilshed.wire.peer.OutcomeUnknown
import org.anvilshed.wire.peer.PeerLink
import org.anvilshed.wire.peer.PeerStream
import org.anvilshed.wire.peer.Refused
import org.anvilshed.wire.peer.RequestStart
import org.anvilshed.wire.peer.ResponseStart
import kotlin.time.Duration.Companion.milliseconds

/** Refusals that depend on the request only, so that every other VM or target would refuse it as well. */
private val FINAL_REFUSALS = setOf(
    RefusalReason.MALFORMED,
    RefusalReason.BODY_TOO_LARGE,
    RefusalReason.DEADLINE_PASSED,
    RefusalReason.CANCELLED,
)

/** Outcomes after which an idempotent request may be sent again. */
private val CONNECTION_FAULTS = setOf(UnknownReason.TARGET_CONNECTION_LOST, UnknownReason.PEER_CONNECTION_LOST)

/**
 * One attempt to have a request served by the peer at the remote end of [link].
 *
 * @param pacer delays the body, so that it stays within the limit of the link to the peer's region.
 * @param start builds the first message for a stream number, with the time that remains until the deadline.
 */
internal class PeerAttempt(
    private val link: PeerLink,
    private val clock: DaemonClock,
    private val deadline: MonotonicTime,
    private val body: RequestBody,
    private val pacer: LinkPacer,
    private val permission: DispatchPermission,
    private val sink: ResponseSink,
    private val start: (Long) -> RequestStart,
) {
    private var stream: PeerStream? = null
    private var responseStarted = false
    private var isComplete = false
    private var bodyFault: UnknownReason? = null

    suspend fun run(): AttemptResult {
        try {
            return withTimeoutOrNull(clock.remaining(deadline)) { exchange() } ?: timedOut()
        } finally {
            if (isComplete) stream?.finish() else stream?.cancel()
        }
    }

    private suspend fun exchange(): AttemptResult {
        val denied = permission.acquire(deadline) { if (link.isOpen) null else RefusalReason.PEER_UNREACHABLE }
        if (denied != null) {
            return if (denied == RefusalReason.PEER_UNREACHABLE) AttemptResult.NotSent(denied) else notRun(denied)
        }
        val opened = link.openStream(start)
        if (opened == null) {
            permission.recordNotRun()
            return AttemptResult.NotSent(RefusalReason.PEER_UNREACHABLE)
        }
        stream = opened
        return coroutineScope {
            val upload = launch { uploadReportingFaults(opened) }
            val result = receive(opened)
            // The peer may answer before the end of the body; the upload may then still wait for flow control credit.
            opened.finish()
            upload.cancelAndJoin()
            result
        }
    }

    private suspend fun uploadReportingFaults(stream: PeerStream) {
        try {
            body.forEach { chunk ->
                pacer.await(chunk.length())
                stream.sendBody(chunk.bytes)
            }
            stream.send(BodyEnd(stream.number))
        } catch (_: BodyTooLargeException) {
            bodyFault = UnknownReason.BODY_TOO_LARGE
            stream.cancel()
        } catch (_: IncompleteBodyException) {
            bodyFault = UnknownReason.CANCELLED
            stream.cancel()
        }
    }

    private suspend fun receive(stream: PeerStream): AttemptResult {
        while (true) {
            when (val message = stream.receive()) {
                is ResponseStart -> {
                    responseStarted = true
                    sink.begin(message.toHead())
                }

                is BodyChunk -> sink.write(Buffer.buffer(message.bytes))

                is BodyEnd -> {
                    isComplete = true
                    sink.end()
                    return AttemptResult.Ended(ServeResult.Answered)
                }

                is Refused -> {
                    isComplete = true
                    return refused(message)
                }

                is OutcomeUnknown -> {
                    isComplete = true
                    return unknownAtPeer(message.reason)
                }

                else -> return interrupted()
            }
        }
    }

    private fun ResponseStart.toHead(): ResponseHead = ResponseHead(status, headers, target?.let(::TargetName), via)

    private fun refused(message: Refused): AttemptResult {
        permission.recordNotRun()
        val refusal = ServeResult.NotRun(message.reason, message.retryAfterMilliseconds?.milliseconds)
        if (message.reason in FINAL_REFUSALS) return AttemptResult.Ended(refusal)
        return AttemptResult.NotRun(refusal, RetryReason.PEER_REFUSED)
    }

    private fun unknownAtPeer(reason: UnknownReason): AttemptResult = if (reason in CONNECTION_FAULTS) {
        AttemptResult.Lost(reason, RetryReason.PEER_CONNECTION_LOST)
    } else {
        unknown(reason)
    }

    private fun interrupted(): AttemptResult = when {
        responseStarted -> AttemptResult.Ended(ServeResult.Broken)
        else -> bodyFault?.let(::unknown)
            ?: AttemptResult.Lost(UnknownReason.PEER_CONNECTION_LOST, RetryReason.PEER_CONNECTION_LOST)
    }

    private fun timedOut(): AttemptResult = when {
        stream == null -> notRun(RefusalReason.DEADLINE_PASSED)
        responseStarted -> AttemptResult.Ended(ServeResult.Broken)
        else -> unknown(UnknownReason.DEADLINE_PASSED)
    }
}
