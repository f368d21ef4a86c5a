package org.anvilshed.core.fleet

import org.anvilshed.core.MonotonicTime
import kotlin.time.Duration

/** What to do after a probe of the store. */
public enum class SilenceAction {
    /** Nothing: the connections work, or the store can't be reached at all. */
    NONE,

    /** Probe again at once on a new connection: the one that was used may have gone silent. */
    PROBE_AGAIN,

    /** Open new connections and ask for changes on these: what was sent on the present ones may never arrive. */
    RENEW,
}

/**
 * Finds out from probes of the store whether connections to it have gone silent, so that changes do not arrive although
 * the store is well. Such a connection reports no error, and a watch on it looks like one without changes.
 *
 * A probe is a cheap call that returns the revision of the store. Two observations show silence: the store responds on
 * a new connection after it did not on an earlier one, and the store has a revision of which no watch has told. A store
 * that does not respond on a new connection either is down or cut off, which new connections do not help.
 *
 * With a change limit of 2.5 s and a round trip of 110 ms, a change is known after 1.5 s at the latest: two fifths of
 * the limit until a probe on a silent connection has failed, and four round trips for the next probe and the watches.
 * Not thread-safe.
 *
 * @param changeLimit returns the time within which a change in the store must be known.
 */
public class SilenceDetector(private val changeLimit: () -> Duration) {
    private var isSilent = false
    private var behindSince: MonotonicTime? = null

    /** Whether a probe has shown a revision of which no watch has told yet, so that the next one is due in any case. */
    public val isVerifying: Boolean
        get() = behindSince != null

    /** Time without a response of the store after which a probe is due. */
    public val period: Duration
        get() = if (isVerifying) grace else changeLimit() / 5

    /** Time after which a probe counts as not answered. */
    public val timeout: Duration
        get() = changeLimit() / 5

    /** Time for the event of a change that a probe has shown: it may be in transit, or a feed may pause. */
    private val grace: Duration
        get() = changeLimit() / 6

    /** Whether the latest probes had no response, on a new connection either. */
    public var isStoreLost: Boolean = false
        private set

    /** Records a response to a probe at [now]; [isBehind] if no watch has told of the revision that it states. */
    public fun recordResponse(isBehind: Boolean, now: MonotonicTime): SilenceAction {
        val wasSilent = isSilent
        isSilent = false
        isStoreLost = false
        val since = behindSince
        behindSince = if (isBehind) since ?: now else null
        val isOverdue = isBehind && since != null && now - since >= grace
        if (!wasSilent && !isOverdue) return SilenceAction.NONE
        behindSince = null
        return SilenceAction.RENEW
    }

    /** Records that a probe failed; [hadNoResponse] unless it failed with an error, which silence does not cause. */
    public fun recordFailure(hadNoResponse: Boolean): SilenceAction {
        behindSince = null
        isStoreLost = isSilent || !hadNoResponse
        if (!hadNoResponse || isSilent) return SilenceAction.NONE
        isSilent = true
        return SilenceAction.PROBE_AGAIN
    }
}
