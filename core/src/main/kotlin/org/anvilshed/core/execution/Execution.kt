package org.anvilshed.core.execution

import org.anvilshed.core.MonotonicTime
import org.anvilshed.core.RefusalReason
import org.anvilshed.core.UnknownReason
import kotlin.time.Duration

/** Cancels a subscription to the result of an [Execution]; further calls have no effect. */
public fun interface Subscription {
    public fun cancel()
}

/**
 * Record of one non-idempotent request at its owner.
 *
 * States: admitted, dispatched, ended. All methods are thread-safe; each holds the monitor of this record only, for a
 * few field accesses, and calls listeners outside of it.
 */
public class Execution internal constructor(
    public val identifier: RequestIdentifier,
    private val records: ExecutionRecords,
) {
    private var attempt = 0
    private var dispatched = false
    private var removed = false
    private var ending: ExecutionResult? = null
    private var listeners: MutableList<(ExecutionResult) -> Unit>? = null

    /** Result, or `null` while the request is admitted or dispatched. */
    public val result: ExecutionResult?
        get() = synchronized(this) { ending }

    /** Whether the request is with a target or peer now. */
    public val isDispatched: Boolean
        get() = synchronized(this) { dispatched && ending == null }

    /**
     * Marks this request as dispatched in one atomic step. Call it immediately before the first byte is sent.
     *
     * A window that expired while the request waited counts as a passed deadline.
     *
     * @param deadline end of the whole request on the owner's clock.
     * @param readClock fresh reading of the owner's clock; read within the step, so that a pause before it counts.
     * @param denyReason returns why the owner may not send now (no seat, no slot, target leaving), or `null` if it
     * may. It runs within the step and must not block.
     */
    public fun dispatch(
        deadline: MonotonicTime,
        readClock: () -> MonotonicTime,
        denyReason: (MonotonicTime) -> RefusalReason?,
    ): DispatchDecision = synchronized(this) {
        ending?.let { return DispatchDecision.Ended(it) }
        if (dispatched) return DispatchDecision.AlreadyDispatched
        val now = readClock()
        val denied = if (now >= deadline || records.windows.stateOf(identifier.window, now) != WindowState.ACCEPTED) {
            RefusalReason.DEADLINE_PASSED
        } else {
            denyReason(now)
        }
        if (denied != null) return DispatchDecision.Denied(denied)
        dispatched = true
        attempt += 1
        DispatchDecision.Dispatched(attempt)
    }

    /**
     * Records that the target or peer stated that dispatch [attempt] did not run, so that the request may be sent
     * elsewhere. Returns `false`, without effect, if that attempt is not the pending one.
     */
    public fun returnNotRun(attempt: Int): Boolean = synchronized(this) {
        val pending = ending == null && dispatched && this.attempt == attempt
        if (pending) dispatched = false
        pending
    }

    /**
     * Ends this request before any dispatch and removes its record, so that the same identifier may be tried again.
     * Returns `false`, without effect, if the request is dispatched or ended.
     */
    public fun refuse(reason: RefusalReason, retryAfter: Duration? = null): Boolean {
        val result = ExecutionResult.NotRun(reason, retryAfter)
        val ended = end(result) { !dispatched }
        if (ended) records.remove(this)
        return ended
    }

    /**
     * Ends this dispatched request with the complete [answer], or with `null` if it was too large to collect.
     *
     * An answer that arrives after [endUnknown] replaces the unknown result for later duplicates. Returns `false`,
     * without effect, if the request was not dispatched, already has an answer, or its record has expired.
     */
    public fun complete(answer: RecordedAnswer?): Boolean {
        val retained = answer?.takeIf { records.reserveBytes(it.bytes) }
        val result = retained?.let { ExecutionResult.Answered(it) } ?: ExecutionResult.AnswerNotRetained
        val ended = end(result) { dispatched && !removed }
        if (!ended && retained != null) records.releaseBytes(retained.bytes)
        return ended
    }

    /** Ends this dispatched request with an unknown result. Returns `false`, without effect, in any other state. */
    public fun endUnknown(reason: UnknownReason): Boolean = end(ExecutionResult.Unknown(reason)) { dispatched }

    /**
     * Calls [listener] once with the result: at once if there is one, otherwise on the thread that ends this request.
     * A duplicate whose own deadline passes first cancels the subscription and answers `still-running`.
     */
    public fun subscribe(listener: (ExecutionResult) -> Unit): Subscription {
        val present = synchronized(this) {
            if (ending ==
                null
            ) {
                (listeners ?: mutableListOf<(ExecutionResult) -> Unit>().also { listeners = it }) += listener
            }
            ending
        }
        if (present != null) {
            listener(present)
            return Subscription { }
        }
        return Subscription { synchronized(this) { listeners?.remove(listener) } }
    }

    /** Ends this request because its record is no longer kept. Returns the bytes of its recorded answer. */
    internal fun expire(): Int {
        end(ExecutionResult.NotRun(RefusalReason.DEADLINE_PASSED)) { !dispatched }
        end(ExecutionResult.Unknown(UnknownReason.IDENTIFIER_EXPIRED)) { dispatched }
        return synchronized(this) {
            removed = true
            (ending as? ExecutionResult.Answered)?.answer?.bytes ?: 0
        }
    }

    private inline fun end(result: ExecutionResult, allowed: () -> Boolean): Boolean {
        val waiting = synchronized(this) {
            val replaceable =
                ending == null || (ending is ExecutionResult.Unknown && result !is ExecutionResult.Unknown)
            if (!replaceable || !allowed()) return false
            ending = result
            listeners.also { listeners = null }
        }
        waiting?.forEach { it(result) }
        return true
    }
}
