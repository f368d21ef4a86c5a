package org.anvilshed.daemon.limits

import io.vertx.core.Vertx
import org.anvilshed.core.MonotonicTime
import org.anvilshed.core.ServiceName
import org.anvilshed.core.limits.Slot
import org.anvilshed.core.routing.TargetState
import org.anvilshed.daemon.DaemonClock
import org.anvilshed.daemon.remaining
import org.anvilshed.daemon.toTimerMilliseconds

/** A target and the slot of it that a request has taken. Exactly one call of [complete] or [abandon] must follow. */
internal class AcquiredTarget(val state: TargetState, private val slot: Slot, private val release: SlotRelease) {
    /** Frees the slot at once: the response has ended, or nothing was sent to the target. */
    fun complete() {
        slot.complete()
        state.end()
        release.freed(state.service)
    }

    /** Frees the slot at [deadline], because the target may work on the request until then. */
    fun abandon(deadline: MonotonicTime) {
        slot.abandon(deadline)
        release.after(deadline) {
            state.end()
            release.freed(state.service)
        }
    }
}

/** Runs actions when slots are freed: [onFreed] is called with the service whose target has a free slot. */
internal class SlotRelease(
    private val vertx: Vertx,
    private val clock: DaemonClock,
    private val onFreed: (ServiceName) -> Unit,
) {
    /** Reports that a slot of a target of [service] was freed. */
    fun freed(service: ServiceName): Unit = onFreed(service)

    /** Runs [action] at [deadline]. */
    fun after(deadline: MonotonicTime, action: () -> Unit) {
        vertx.setTimer(clock.remaining(deadline).toTimerMilliseconds()) { action() }
    }
}
