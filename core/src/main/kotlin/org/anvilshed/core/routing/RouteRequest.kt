package org.anvilshed.core.routing

import org.anvilshed.core.MonotonicTime
import org.anvilshed.core.RefusalReason
import kotlin.random.Random
import kotlin.time.Instant

/**
 * One question to [RouteChooser]; made anew for each attempt and used by one thread.
 *
 * @property now fresh reading of the monotonic clock.
 * @property wallNow wall clock, for planned times of the bundle only.
 * @property random source for the power of two choices and for planned moves.
 * @property mayForward `false` for a request that a peer forwarded: it runs here or nowhere.
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
