package org.anvilshed.core.routing

import org.anvilshed.core.MonotonicTime
import org.anvilshed.core.RefusalReason
import kotlin.random.Random
import kotlin.time.Instant

/**
 * Input of [RouteChooser.route]. Create a new object for each attempt, and use it on one thread.
 *
 * @property now fresh reading of the monotonic clock.
 * @property wallNow reading of the wall clock, used for planned times of the bundle only.
 * @property random source for the power of two choices and for planned moves.
 * @property mayForward `false` for a request that a peer forwarded, which runs at a target of this VM or is refused.
 * @property avoidTarget target of the last attempt, which is not chosen again.
 * @property avoidPeer peer of the last attempt, which is not chosen again.
 */
public class RouteRequest(
    public val now: MonotonicTime,
    public val wallNow: Instant,
    public val random: Random,
    public val mayForward: Boolean = true,
    public val avoidTarget: TargetState? = null,
    public val avoidPeer: PeerRoute? = null,
) {
    /** Last refusal of [LocalDispatchLimit], if any. */
    internal var localRefusal: RefusalReason? = null

    /** Last refusal of [RegionMoveLimit], if any. */
    internal var moveRefusal: RefusalReason? = null
}
