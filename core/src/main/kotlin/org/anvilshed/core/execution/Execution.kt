package org.anvilshed.core.execution

import org.anvilshed.core.MonotonicTime
import org.anvilshed.core.RefusalReason
import org.anvilshed.core.UnknownReason
import kotlin.time.Duration

/** Subscription to the result of an [Execution]. */
public fun interface Subscription {
    /** Cancels this subscription; further calls have no effect. */
    public fun cancel()
}

/**
 * Record of one non-idempotent request at its owner.
 *
 * States: admitted, dispatched, ended. All methods are thread-safe. Each locks this record only, for a few field
 * accesses, and calls listeners after it has released the lock.
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

    /** Whether the request is dispatched to a target or peer and has not ended. */
    public val isDispatched: Boolean
        get() = synchronized(this) { dispatched && ending == null }

    /**
     * Marks this request as dispatched in one atomic step. To be called immediately before the first byte is sent.
     *
     * If the identifier window expired while the request waited, its deadline counts as passed.
     *
     * @param deadline end of the whole request on the owner's clock.
     * @param readClock returns a fresh reading of the owner's clock. It is called within the step, so that a pause of
     *   the thread before the step counts against the deadline.
     * @param denyReason returns why the owner may not send now (no valid share, no slot, target leaving), or `null` if
     *   it may. It is called within the step and must not block.
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
     * Records the statement of the target or peer that dispatch [attempt] did not run, so that the request may be sent
     * elsewhere. Returns `false`, without effect, if [attempt] is not the pending dispatch.
     */
    public fun returnNotRun(attempt: Int): Boolean = synchronized(this) {
        val pending = ending == null && dispatched && this.attempt == attempt
        if (pending) dispatched = false
        pending
    }

    /**
     * Ends this request while it is not dispatched and removes its record, so that the same identifier may be tried
     * again. Returns `false`, without effect, if the request is dispatched or ended.
     */
    public fun refuse(reason: RefusalReason, retryAfter: Duration? = null): Boolean {
        val result = ExecutionResult.NotRun(reason, retryAfter)
        val ended = end(result) { !dispatched }
        if (ended) records.remove(this)
        return ended
    }

    /**
     * Ends this dispatched request with the complete [answer], or with `null` if the answer was too large to collect.
     *
     * An answer that arrives after [endUnknown] replaces the unknown result for later duplicates. Returns `false`,
     * without effect, if the request is not dispatched, already has an answer, or its record has expired.
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
     * Calls [listener] once with the result: immediately if the request has ended, otherwise on the thread that ends
     * it. A duplicate whose own deadline passes first cancels the subscription and answers `still-running`.
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

    /** Ends this request because its record is no longer kept. Returns the size in bytes of its recorded answer. */
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
