package org.anvilshed.daemon.limits

import org.anvilshed.core.RefusalReason
import org.anvilshed.core.RegionName
import org.anvilshed.core.ServiceName
import org.anvilshed.core.limits.Slot
import org.anvilshed.core.routing.LocalDispatchLimit
import org.anvilshed.core.routing.RegionMoveLimit
import org.anvilshed.core.routing.RouteLimits
import org.anvilshed.core.routing.TargetState
import org.anvilshed.daemon.DaemonClock
import kotlin.time.Duration

/** Assumed length of a request without its body; its body is counted piece by piece when it is sent. */
private const val REQUEST_HEAD_BYTES = 1024.0

/**
 * Limits of this VM as one routing decision asks them; keeps the slot that it took.
 *
 * @param mayMove whether the request may leave the region; `false` if it entered in another one and was counted there.
 */
internal class AttemptLimits(
    private val limits: SeatLimits,
    private val runtime: ServiceRuntime,
    private val clock: DaemonClock,
    private val mayMove: Boolean,
) {
    val routeLimits = RouteLimits(LocalDispatchLimit(::acquireTarget), RegionMoveLimit(::acquireMove))

    /** Slot taken by the decision, if it names a local target. */
    var slot: Slot? = null
        private set

    private fun acquireTarget(target: TargetState): RefusalReason? {
        val now = clock.now()
        val pool = limits.poolOf(target.zone)
        val taken = pool.acquireOrNull(target.name, now)
        if (taken == null) {
            val hasSeats = limits.rightsOf(target.zone).fractionAt(now) > 0.0
            return if (hasSeats) RefusalReason.NO_SLOT else RefusalReason.NO_SEAT
        }
        if (!limits.regionLimiter.tryAcquire(1.0, now)) {
            taken.complete()
            return RefusalReason.REGION_LIMIT
        }
        slot = taken
        return null
    }

    @Suppress("UnusedParameter") // The service is the one of the runtime; the parameter is part of the interface.
    private fun acquireMove(service: ServiceName, to: RegionName): RefusalReason? {
        if (!mayMove) return RefusalReason.SHIFT_CAP
        val now = clock.now()
        val link = limits.linkTo(to) ?: return RefusalReason.LINK_LIMIT
        // A counted move cannot be taken back, so the link is asked first. If another request takes its last bytes in
        // between, the body waits for the link.
        if (link.waitingTime(REQUEST_HEAD_BYTES, now) > Duration.ZERO) return RefusalReason.LINK_LIMIT
        if (!runtime.shiftLimiter.tryMove(now)) return RefusalReason.SHIFT_CAP
        link.tryAcquire(REQUEST_HEAD_BYTES, now)
        return null
    }
}
