package org.anvilshed.core.placement

import org.anvilshed.core.MonotonicTime
import java.util.Locale
import kotlin.time.Duration

/**
 * Request that was sent to a target and has not ended.
 *
 * @property expected time that the answer was expected to take.
 * @property loadFound requests that were believed to be at the target.
 * @property slotShare part of its time in flight in which the request takes a slot and is not under way.
 * @property rank place of the target among those that are preferred for the request's object.
 * @property objectAge requests with objects that were sent to the target since the object was; `null` if it never was.
 */
public class InFlightRequest internal constructor(
    internal val load: TargetLoad,
    internal val request: PlacementRequest,
    internal val sentAt: MonotonicTime,
    internal val expected: Duration,
    internal val loadFound: Double,
    internal val slotShare: Double,
    internal val rank: ObjectRank,
    internal val objectAge: Long?,
) {
    /** Whether the target was believed to have a free slot, so that the time of its answer is work alone. */
    internal val foundFreeSlot: Boolean
        get() = loadFound < load.target.slots

    /** Time that the answer was expected to take at the target. */
    public val expectedTime: Duration
        get() = expected

    /** What decided the choice of the target, for the log. */
    public val reason: String
        get() = "load=%.1f/${load.target.slots} rank=$rank expected=${expected.inWholeMilliseconds}ms"
            .format(Locale.ROOT, loadFound)
}

/** How a request ended at a target. */
public sealed interface TargetOutcome {
    /**
     * The target answered.
     *
     * @property failed whether the answer is a failure of the target.
     */
    public data class Answered(public val failed: Boolean, public val report: LoadReport?) : TargetOutcome

    /** The target said that it did not run the request. */
    public data class Shed(public val report: LoadReport?) : TargetOutcome

    /** No connection could be opened, so nothing was sent. */
    public data object Unreachable : TargetOutcome

    /** The connection broke, or the answer was damaged, late or another request's. */
    public data object Broken : TargetOutcome

    /** Another process has the target's address. */
    public data object Misdirected : TargetOutcome

    /** This VM gave up on the request; says nothing about the target. */
    public data object Cancelled : TargetOutcome
}

/**
 * Load that a target reported with an answer.
 *
 * @property running requests in its slots.
 * @property waiting requests in its queue.
 */
public data class LoadReport(public val running: Int, public val waiting: Int, public val slots: Int)
