package org.anvilshed.daemon.request

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

/** Serves requests of callers and peers: checks them and hands them to the dispatcher or to the identifier's owner. */
internal class RequestService(
    private val resolver: RequestResolver,
    private val records: ExecutionRecords,
    private val owned: OwnedRequests,
    private val owners: OwnerForwarder,
    private val dispatcher: Dispatcher,
    private val clock: DaemonClock,
    private val acceptsNewRequests: () -> Boolean,
) {
    /**
     * Serves [incoming] and passes the response to [sink]. Cancel the call when the caller goes away.
     *
     * A request that may have an earlier arrival is first looked up by its identifier: any other check could say of a
     * request that ran that it did not run.
     */
    suspend fun serve(incoming: IncomingRequest, sink: ResponseSink): ServeResult {
        val identifier = incoming.identifier?.let(::parseRequestIdentifierOrNull)
        val kind = resolver.kindOrNull(incoming)
        return when {
            incoming.peer?.mode == RequestMode.EXECUTE -> serveHere(incoming, identifier, sink)

            identifier != null && kind?.idempotent != true -> serveOnce(incoming, identifier, sink)

            kind?.idempotent == false -> ServeResult.NotRun(RefusalReason.MALFORMED)

            else -> serveHere(incoming, identifier = null, sink)
        }
    }

    private suspend fun serveHere(
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
                    readBeginning(request) ?: dispatcher.serve(request, PlainGate(clock), sink)
                } finally {
                    request.body.close()
                }
            }
        }
    }

    private suspend fun serveOnce(
        incoming: IncomingRequest,
        identifier: RequestIdentifier,
        sink: ResponseSink,
    ): ServeResult = when (val admission = records.admit(identifier, clock::now)) {
        is ExecutionAdmission.Admitted -> runOnce(admission.execution, incoming, sink)

        is ExecutionAdmission.Duplicate -> owned.answerDuplicate(
            admission.execution,
            resolver.deadlineOf(incoming),
            sink,
        )

        is ExecutionAdmission.Refused -> ServeResult.NotRun(admission.reason)

        is ExecutionAdmission.Unknown -> ServeResult.Unknown(admission.reason)

        is ExecutionAdmission.OwnedElsewhere ->
            if (incoming.peer == null) {
                owners.forward(incoming, identifier, sink)
            } else {
                ServeResult.Unknown(UnknownReason.OWNER_UNREACHABLE)
            }
    }

    private suspend fun runOnce(execution: Execution, incoming: IncomingRequest, sink: ResponseSink): ServeResult =
        coroutineScope {
            var handedOver = false
            var result: ServeResult.NotRun = ServeResult.NotRun(RefusalReason.CANCELLED)
            try {
                when (val resolution = resolve(execution, incoming, this)) {
                    is Resolution.Refused -> ServeResult.NotRun(resolution.reason).also { result = it }

                    is Resolution.Resolved -> {
                        val refusal = readBeginning(resolution.request)
                        if (refusal != null) {
                            resolution.request.body.close()
                            refusal.also { result = it }
                        } else {
                            handedOver = true
                            owned.run(execution, resolution.request, sink)
                        }
                    }
                }
            } finally {
                if (!handedOver) execution.refuse(result.reason)
            }
        }

    private fun resolve(
        execution: Execution,
        incoming: IncomingRequest,
        scope: kotlinx.coroutines.CoroutineScope,
    ): Resolution = when {
        !acceptsNewRequests() -> Resolution.Refused(RefusalReason.LEAVING)
        incoming.peer?.mayRun == false -> Resolution.Refused(RefusalReason.SHIFT_CAP)
        else -> resolver.resolve(incoming, execution.identifier, scope)
    }

    /** Reads the beginning of the body, so that a slow sender occupies no slot. Returns why the request cannot run. */
    private suspend fun readBeginning(request: ServiceRequest): ServeResult.NotRun? = try {
        val read = withTimeoutOrNull(clock.remaining(request.deadline)) { request.body.readBeginning() }
        if (read == null) ServeResult.NotRun(RefusalReason.DEADLINE_PASSED) else null
    } catch (_: BodyTooLargeException) {
        ServeResult.NotRun(RefusalReason.BODY_TOO_LARGE)
    } catch (_: BodyBrokenException) {
        ServeResult.NotRun(RefusalReason.CANCELLED)
    }
}
