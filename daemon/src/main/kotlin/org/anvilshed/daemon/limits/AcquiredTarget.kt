package org.anvilshed.daemon.limits

import io.vertx.core.Vertx
import org.anvilshed.core.MonotonicTime
import org.anvilshed.core.ServiceName
import org.anvilshed.core.limits.Slot
import org.anvilshed.core.routing.TargetState
import org.anvilshed.daemon.DaemonClock
import org.anvilshed.daemon.remaining
import org.anvilshed.daemon.toTimerMilliseconds

/** A target with a taken slot of it; ended by exactly one call of [complete] or [abandon]. */
internal class AcquiredTarget(val state: TargetState, private val slot: Slot, private val release: SlotRelease) {
    /** Frees the slot: the response has ended, or nothing was sent. */
    fun complete() {
        slot.complete()
        state.end()
        release.freed(state.service)
    }

    /** Frees the slot at [deadline], since the target may work on the request until then. */
    fun abandon(deadline: MonotonicTime) {
        slot.abandon(deadline)
        release.after(deadline) {
            state.end()
            release.freed(state.service)
        }
    }
}

/** What follows when a slot becomes free. */
internal class SlotRelease(
    private val vertx: Vertx,
    private val clock: DaemonClock,
    private val onFreed: (ServiceName) -> Unit,
) {
    fun freed(service: ServiceName): Unit = onFreed(service)

    fun after(deadline: MonotonicTime, action: () -> Unit) {
        vertx.setTimer(clock.remaining(deadline).toTimerMilliseconds()) { action() }
    }
}
