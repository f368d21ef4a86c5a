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

/** Assumed length of a request without its body; the chunks of the body are counted when they are sent. */
private const val REQUEST_HEAD_BYTES = 1024.0

/**
 * Checks the limits of this VM for one routing decision and keeps the slot that was taken for it.
 *
 * @param mayMove whether the request may be sent to another region; `false` if it came from another region, where it
 *   was counted against the shift cap.
 */
internal class RouteDecisionLimits(
    private val limits: ShareLimits,
    private val runtime: ServiceRuntime,
    private val clock: DaemonClock,
    private val mayMove: Boolean,
) {
    /** Limits as the routing decision reads them. */
    val routeLimits = RouteLimits(LocalDispatchLimit(::acquireTarget), RegionMoveLimit(::acquireMove))

    /** Slot that was taken if the decision is a local target, otherwise `null`. */
    var slot: Slot? = null
        private set

    private fun acquireTarget(target: TargetState): RefusalReason? {
        val now = clock.now()
        val pool = limits.poolOf(target.zone)
        val taken = pool.acquireOrNull(target.name, now)
        if (taken == null) {
            val hasShares = limits.usableSharesOf(target.zone).fractionAt(now) > 0.0
            return if (hasShares) RefusalReason.NO_SLOT else RefusalReason.NO_SEAT
        }
        if (!limits.regionLimiter.tryAcquire(1.0, now)) {
            taken.complete()
            return RefusalReason.REGION_LIMIT
        }
        slot = taken
        return null
    }

    @Suppress("UnusedParameter") // The interface passes the service, which is always the one of the runtime.
    private fun acquireMove(service: ServiceName, to: RegionName): RefusalReason? {
        if (!mayMove) return RefusalReason.SHIFT_CAP
        val now = clock.now()
        val link = limits.linkLimiterTo(to) ?: return RefusalReason.LINK_LIMIT
        // The link is checked first because a move that was counted against the shift cap cannot be undone. If another
        // request takes the last bytes of the link in the meantime, the body waits for the link.
        if (link.waitingTime(REQUEST_HEAD_BYTES, now) > Duration.ZERO) return RefusalReason.LINK_LIMIT
        if (!runtime.shiftLimiter.tryMove(now)) return RefusalReason.SHIFT_CAP
        link.tryAcquire(REQUEST_HEAD_BYTES, now)
        return null
    }
}
