package org.anvilshed.daemon.request

import io.vertx.core.buffer.Buffer
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.async
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.withTimeoutOrNull
import org.anvilshed.core.MonotonicTime
import org.anvilshed.core.RefusalReason
import org.anvilshed.core.UnknownReason
import org.anvilshed.core.execution.Execution
import org.anvilshed.core.execution.ExecutionResult
import org.anvilshed.core.execution.RecordedAnswer
import org.anvilshed.daemon.DaemonClock
import org.anvilshed.daemon.remaining
import org.anvilshed.wire.peer.HeaderField
import kotlin.coroutines.ContinuationInterceptor

/** Largest answer in bytes that is recorded for duplicates of its request. */
internal const val RECORDED_ANSWER_BYTES = 64 * 1024

/**
 * Runs the non-idempotent requests whose identifiers this process owns, and answers their duplicates.
 *
 * @param workers scope of requests that continue to run after their callers have gone away.
 */
internal class OwnedRequestRunner(
    private val dispatcher: RequestDispatcher,
    private val clock: DaemonClock,
    private val workers: CoroutineScope,
) {
    private class RecordedResult(val result: ServeResult, val answer: RecordedAnswer?)

    /**
     * Runs the first arrival of a request, for which [execution] was admitted.
     *
     * This call is cancelled when the caller goes away. A request that was not dispatched yet is then cancelled; a
     * dispatched request is completed, and its result is recorded.
     */
    suspend fun run(execution: Execution, request: ResolvedRequest, sink: ResponseSink): ServeResult {
        val permission = SingleDispatchPermission(execution, clock)
        val interceptor = checkNotNull(currentCoroutineContext()[ContinuationInterceptor])
        val worker = workers.async(interceptor) { execute(execution, request, permission, sink) }
        val recorded = try {
            worker.await()
        } catch (cancelled: CancellationException) {
            permission.cancel()
            if (!execution.isDispatched) worker.cancel()
            throw cancelled
        }
        if (recorded.answer != null) send(recorded.answer, sink, isReplayed = false)
        return recorded.result
    }

    /** Waits until [deadline] for the result of the first arrival of a request and sends it to [sink]. */
    suspend fun answerDuplicate(execution: Execution, deadline: MonotonicTime, sink: ResponseSink): ServeResult {
        val ended = CompletableDeferred<ExecutionResult>()
        val subscription = execution.subscribe { ended.complete(it) }
        val result = try {
            withTimeoutOrNull(clock.remaining(deadline)) { ended.await() }
        } finally {
            subscription.cancel()
        }
        return when (val known = result ?: execution.result) {
            null -> ServeResult.Unknown(UnknownReason.STILL_RUNNING)

            is ExecutionResult.Answered -> {
                send(known.answer, sink, isReplayed = true)
                ServeResult.Answered
            }

            ExecutionResult.AnswerNotRetained -> ServeResult.Unknown(UnknownReason.ANSWER_NOT_RETAINED)

            is ExecutionResult.Unknown -> ServeResult.Unknown(known.reason)

            is ExecutionResult.NotRun -> ServeResult.NotRun(known.reason, known.retryAfter)
        }
    }

    private suspend fun execute(
        execution: Execution,
        request: ResolvedRequest,
        permission: DispatchPermission,
        sink: ResponseSink,
    ): RecordedResult {
        val recording = RecordingSink(sink, RECORDED_ANSWER_BYTES)
        var ended = false
        try {
            val result = dispatcher.serve(request, permission, recording)
            ended = true
            return record(execution, result, recording)
        } finally {
            request.body.close()
            // Without this, the record of a worker that was cancelled or failed would never end.
            if (!ended && !execution.refuse(RefusalReason.CANCELLED)) execution.endUnknown(UnknownReason.CANCELLED)
        }
    }

    private fun record(execution: Execution, result: ServeResult, recording: RecordingSink): RecordedResult {
        when (result) {
            ServeResult.Answered -> {
                val answer = recording.answerOrNull()
                execution.complete(answer)
                return RecordedResult(result, answer)
            }

            ServeResult.Broken -> execution.endUnknown(UnknownReason.TARGET_CONNECTION_LOST)

            is ServeResult.NotRun -> check(execution.refuse(result.reason, result.retryAfter)) {
                "${execution.identifier} ended as not run after it was dispatched"
            }

            is ServeResult.Unknown -> execution.endUnknown(result.reason)
        }
        // If no part of the incomplete response was passed on, the caller can still be told of the unknown outcome.
        val canReportUnknown = result == ServeResult.Broken && !recording.isPassedOn
        return RecordedResult(
            if (canReportUnknown) ServeResult.Unknown(UnknownReason.TARGET_CONNECTION_LOST) else result,
            answer = null,
        )
    }

    private suspend fun send(answer: RecordedAnswer, sink: ResponseSink, isReplayed: Boolean) {
        val headers = answer.headers.map { (name, value) -> HeaderField(name, value) }
        val replayedHeader = if (isReplayed) listOf(HeaderField(REPLAYED_HEADER, "true")) else emptyList()
        sink.begin(ResponseHead(answer.status, headers + replayedHeader, answer.target))
        if (answer.body.isNotEmpty()) sink.write(Buffer.buffer(answer.body))
        sink.end()
    }

    companion object {
        const val REPLAYED_HEADER = "Anvilshed-Replayed"
    }
}
