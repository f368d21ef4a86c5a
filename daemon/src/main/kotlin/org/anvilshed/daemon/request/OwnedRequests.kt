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

/** Largest answer that is recorded, in bytes. */
internal const val RECORDED_ANSWER_BYTES = 64 * 1024

/**
 * Runs the non-idempotent requests whose identifiers this process owns, and answers their duplicates.
 *
 * @param workers scope of requests that go on when their callers go away.
 */
internal class OwnedRequests(
    private val dispatcher: Dispatcher,
    private val clock: DaemonClock,
    private val workers: CoroutineScope,
) {
    private class Worked(val result: ServeResult, val answer: RecordedAnswer?)

    /**
     * Runs the first arrival of a request, which holds [execution].
     *
     * When the caller goes away, that is, when this call is cancelled, a request that was not dispatched is given up,
     * and a dispatched one is completed and recorded.
     */
    suspend fun run(execution: Execution, request: ServiceRequest, sink: ResponseSink): ServeResult {
        val gate = ExecutionGate(execution, clock)
        val interceptor = checkNotNull(currentCoroutineContext()[ContinuationInterceptor])
        val worker = workers.async(interceptor) { work(execution, request, gate, sink) }
        val worked = try {
            worker.await()
        } catch (cancelled: CancellationException) {
            gate.abandon()
            if (!execution.isDispatched) worker.cancel()
            throw cancelled
        }
        if (worked.answer != null) send(worked.answer, sink, isReplayed = false)
        return worked.result
    }

    /** Waits until [deadline] for the result of the first arrival of a request and passes it on. */
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

    private suspend fun work(
        execution: Execution,
        request: ServiceRequest,
        gate: DispatchGate,
        sink: ResponseSink,
    ): Worked {
        val recording = RecordingSink(sink, RECORDED_ANSWER_BYTES)
        var ended = false
        try {
            val result = dispatcher.serve(request, gate, recording)
            ended = true
            return record(execution, result, recording)
        } finally {
            request.body.close()
            // A worker that was cancelled or failed leaves no record that nobody ends.
            if (!ended && !execution.refuse(RefusalReason.CANCELLED)) execution.endUnknown(UnknownReason.CANCELLED)
        }
    }

    private fun record(execution: Execution, result: ServeResult, recording: RecordingSink): Worked {
        when (result) {
            ServeResult.Answered -> {
                val answer = recording.answerOrNull()
                execution.complete(answer)
                return Worked(result, answer)
            }

            ServeResult.Broken -> execution.endUnknown(UnknownReason.TARGET_CONNECTION_LOST)

            is ServeResult.NotRun -> check(execution.refuse(result.reason, result.retryAfter)) {
                "${execution.identifier} ended as not run after it was dispatched"
            }

            is ServeResult.Unknown -> execution.endUnknown(result.reason)
        }
        // Nothing of a short response was passed on when it broke off, so the caller can still be told.
        val isSilent = result == ServeResult.Broken && !recording.isPassedOn
        return Worked(
            if (isSilent) ServeResult.Unknown(UnknownReason.TARGET_CONNECTION_LOST) else result,
            answer = null,
        )
    }

    private suspend fun send(answer: RecordedAnswer, sink: ResponseSink, isReplayed: Boolean) {
        val headers = answer.headers.map { (name, value) -> HeaderField(name, value) }
        val mark = if (isReplayed) listOf(HeaderField(REPLAYED_HEADER, "true")) else emptyList()
        sink.begin(ResponseHead(answer.status, headers + mark, answer.target))
        if (answer.body.isNotEmpty()) sink.write(Buffer.buffer(answer.body))
        sink.end()
    }

    companion object {
        const val REPLAYED_HEADER = "Anvilshed-Replayed"
    }
}
