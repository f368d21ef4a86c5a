package org.anvilshed.daemon.request

import org.anvilshed.core.MonotonicTime
import org.anvilshed.core.RefusalReason
import org.anvilshed.core.execution.DispatchDecision
import org.anvilshed.core.execution.Execution
import org.anvilshed.daemon.DaemonClock
import java.util.concurrent.atomic.AtomicBoolean

/** Permission to send a request to a target or peer, asked for immediately before the first byte is sent. */
internal interface DispatchGate {
    /**
     * Asks for permission to send the request.
     *
     * @param deny returns why the sender may not send at a fresh reading of the clock, or `null`.
     * @return `null` if the request may be sent, otherwise why it may not.
     */
    fun open(deadline: MonotonicTime, deny: (MonotonicTime) -> RefusalReason?): RefusalReason?

    /** Reports that the receiver stated that the request did not run. */
    fun returned()
}

/** Gate of requests that may be sent several times, and of those for which the owner has asked its own gate. */
internal class PlainGate(private val clock: DaemonClock) : DispatchGate {
    override fun open(deadline: MonotonicTime, deny: (MonotonicTime) -> RefusalReason?): RefusalReason? {
        val now = clock.now()
        return if (now >= deadline) RefusalReason.DEADLINE_PASSED else deny(now)
    }

    override fun returned() = Unit
}

/**
 * Gate of a non-idempotent request at the owner of its identifier. It opens again only after [returned].
 *
 * The request's worker is the only caller of [open] and [returned]; [abandon] may be called by any thread.
 */
internal class ExecutionGate(private val execution: Execution, private val clock: DaemonClock) : DispatchGate {
    private val abandoned = AtomicBoolean()
    private var attempt = 0

    override fun open(deadline: MonotonicTime, deny: (MonotonicTime) -> RefusalReason?): RefusalReason? {
        val decision = execution.dispatch(deadline, clock::now) { now ->
            if (abandoned.get()) RefusalReason.CANCELLED else deny(now)
        }
        return when (decision) {
            is DispatchDecision.Dispatched -> {
                attempt = decision.attempt
                null
            }

            is DispatchDecision.Denied -> decision.reason

            is DispatchDecision.Ended -> RefusalReason.DEADLINE_PASSED

            DispatchDecision.AlreadyDispatched -> error("${execution.identifier} was to be dispatched twice")
        }
    }

    override fun returned() {
        execution.returnNotRun(attempt)
    }

    /** Keeps the gate closed from now on, because the caller has gone away; an open gate stays open. */
    fun abandon() {
        abandoned.set(true)
    }
}
