package org.anvilshed.daemon.request

import org.anvilshed.core.MonotonicTime
import org.anvilshed.core.RefusalReason
import org.anvilshed.core.execution.DispatchDecision
import org.anvilshed.core.execution.Execution
import org.anvilshed.daemon.DaemonClock
import java.util.concurrent.atomic.AtomicBoolean

/** Decides immediately before the first byte of a request is sent whether it may be sent to a target or peer. */
internal interface DispatchPermission {
    /**
     * Acquires permission to send the request once.
     *
     * @param refusalAt returns why the sender must not send at the given fresh reading of the clock, or `null`.
     * @return `null` if the request may be sent, otherwise why it must not be sent.
     */
    fun acquire(deadline: MonotonicTime, refusalAt: (MonotonicTime) -> RefusalReason?): RefusalReason?

    /** Records that the request, which was permitted to be sent, did not run. */
    fun recordNotRun()
}

/**
 * Permission for requests that may be sent more than once: idempotent requests, and requests whose execution the owner
 * of the identifier records with its own [SingleDispatchPermission].
 */
internal class RepeatableDispatchPermission(private val clock: DaemonClock) : DispatchPermission {
    override fun acquire(deadline: MonotonicTime, refusalAt: (MonotonicTime) -> RefusalReason?): RefusalReason? {
        val now = clock.now()
        return if (now >= deadline) RefusalReason.DEADLINE_PASSED else refusalAt(now)
    }

    override fun recordNotRun() = Unit
}

/**
 * Permission for a non-idempotent request at the owner of its identifier. [acquire] must not be called again after a
 * granted permission until [recordNotRun] was called, so that the request never runs twice.
 *
 * Only the coroutine that runs the request calls [acquire] and [recordNotRun]; [cancel] may be called by any thread.
 */
internal class SingleDispatchPermission(private val execution: Execution, private val clock: DaemonClock) :
    DispatchPermission {
    private val cancelled = AtomicBoolean()
    private var attempt = 0

    override fun acquire(deadline: MonotonicTime, refusalAt: (MonotonicTime) -> RefusalReason?): RefusalReason? {
        val decision = execution.dispatch(deadline, clock::now) { now ->
            if (cancelled.get()) RefusalReason.CANCELLED else refusalAt(now)
        }
        return when (decision) {
            is DispatchDecision.Dispatched -> {
                attempt = decision.attempt
                null
            }

            is DispatchDecision.Denied -> decision.reason

            is DispatchDecision.Ended -> RefusalReason.DEADLINE_PASSED

            DispatchDecision.AlreadyDispatched -> error("${execution.identifier} must not be dispatched twice")
        }
    }

    override fun recordNotRun() {
        execution.returnNotRun(attempt)
    }

    /** Refuses all later permissions, because the caller has gone away; a granted permission stays valid. */
    fun cancel() {
        cancelled.set(true)
    }
}
