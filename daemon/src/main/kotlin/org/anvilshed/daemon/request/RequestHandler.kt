package org.anvilshed.daemon.request

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.withTimeoutOrNull
import org.anvilshed.core.RefusalReason
import org.anvilshed.core.UnknownReason
import org.anvilshed.core.execution.Execution
import org.anvilshed.core.execution.ExecutionAdmission
import org.anvilshed.core.execution.ExecutionRecords
import org.anvilshed.core.execution.RequestIdentifier
import org.anvilshed.core.execution.parseRequestIdentifierOrNull
import org.anvilshed.daemon.DaemonClock
import org.anvilshed.daemon.remaining
import org.anvilshed.wire.peer.RequestMode

/**
 * Entry point for requests of callers and peers: checks a request, reads the beginning of its body, and passes the
 * request to the [RequestDispatcher] or to the owner of its identifier.
 */
internal class RequestHandler(
    private val resolver: RequestResolver,
    private val records: ExecutionRecords,
    private val ownedRequestRunner: OwnedRequestRunner,
    private val ownerForwarder: OwnerForwarder,
    private val dispatcher: RequestDispatcher,
    private val clock: DaemonClock,
    private val acceptsNewRequests: () -> Boolean,
) {
    /**
     * Serves [incoming] and passes the response to [sink]. Must be cancelled when the caller goes away.
     *
     * A request that may be a duplicate is looked up by its identifier before any other check. Otherwise a failed check
     * could report a request as not run although its first arrival ran.
     */
    suspend fun serve(incoming: IncomingRequest, sink: ResponseSink): ServeResult {
        val identifier = incoming.identifier?.let(::parseRequestIdentifierOrNull)
        val kind = resolver.kindOrNull(incoming)
        return when {
            incoming.peer?.mode == RequestMode.EXECUTE -> serveUnrecorded(incoming, identifier, sink)

            identifier != null && kind?.idempotent != true -> serveRecorded(incoming, identifier, sink)

            kind?.idempotent == false -> ServeResult.NotRun(RefusalReason.MALFORMED)

            else -> serveUnrecorded(incoming, identifier = null, sink)
        }
    }

    /** Serves a request that may run more than once, or whose execution the owner of its identifier records. */
    private suspend fun serveUnrecorded(
        incoming: IncomingRequest,
        identifier: RequestIdentifier?,
        sink: ResponseSink,
    ): ServeResult = coroutineScope {
        if (!acceptsNewRequests()) return@coroutineScope ServeResult.NotRun(RefusalReason.LEAVING)
        when (val resolution = resolver.resolve(incoming, identifier, this)) {
            is Resolution.Refused -> ServeResult.NotRun(resolution.reason)

            is Resolution.Resolved -> {
                val request = resolution.request
                try {
                    readBeginning(request) ?: dispatcher.serve(request, RepeatableDispatchPermission(clock), sink)
                } finally {
                    request.body.close()
                }
            }
        }
    }

    /** Serves a request that must not run more than once, by the record of its identifier at the identifier's owner. */
    private suspend fun serveRecorded(
        incoming: IncomingRequest,
        identifier: RequestIdentifier,
        sink: ResponseSink,
    ): ServeResult = when (val admission = records.admit(identifier, clock::now)) {
        is ExecutionAdmission.Admitted -> runFirstArrival(admission.execution, incoming, sink)

        is ExecutionAdmission.Duplicate -> ownedRequestRunner.answerDuplicate(
            admission.execution,
            resolver.deadlineOf(incoming),
            sink,
        )

        is ExecutionAdmission.Refused -> ServeResult.NotRun(admission.reason)

        is ExecutionAdmission.Unknown -> ServeResult.Unknown(admission.reason)

        is ExecutionAdmission.OwnedElsewhere ->
            if (incoming.peer == null) {
                ownerForwarder.forward(incoming, identifier, sink)
            } else {
                ServeResult.Unknown(UnknownReason.OWNER_UNREACHABLE)
            }
    }

    private suspend fun runFirstArrival(
        execution: Execution,
        incoming: IncomingRequest,
        sink: ResponseSink,
    ): ServeResult = coroutineScope {
        var isStarted = false
        var refusal: ServeResult.NotRun = ServeResult.NotRun(RefusalReason.CANCELLED)
        try {
            when (val resolution = resolve(execution, incoming, this)) {
                is Resolution.Refused -> ServeResult.NotRun(resolution.reason).also { refusal = it }

                is Resolution.Resolved -> {
                    val bodyRefusal = readBeginning(resolution.request)
                    if (bodyRefusal != null) {
                        resolution.request.body.close()
                        bodyRefusal.also { refusal = it }
                    } else {
                        isStarted = true
                        ownedRequestRunner.run(execution, resolution.request, sink)
                    }
                }
            }
        } finally {
            if (!isStarted) execution.refuse(refusal.reason)
        }
    }

    private fun resolve(execution: Execution, incoming: IncomingRequest, scope: CoroutineScope): Resolution = when {
        !acceptsNewRequests() -> Resolution.Refused(RefusalReason.LEAVING)
        incoming.peer?.mayRun == false -> Resolution.Refused(RefusalReason.SHIFT_CAP)
        else -> resolver.resolve(incoming, execution.identifier, scope)
    }

    /** Reads the beginning of the body, so that a slow sender occupies no slot. Returns why the request cannot run. */
    private suspend fun readBeginning(request: ResolvedRequest): ServeResult.NotRun? = try {
        val read = withTimeoutOrNull(clock.remaining(request.deadline)) { request.body.readBeginning() }
        if (read == null) ServeResult.NotRun(RefusalReason.DEADLINE_PASSED) else null
    } catch (_: BodyTooLargeException) {
        ServeResult.NotRun(RefusalReason.BODY_TOO_LARGE)
    } catch (_: IncompleteBodyException) {
        ServeResult.NotRun(RefusalReason.CANCELLED)
    }
}
