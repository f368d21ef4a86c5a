package org.anvilshed.core.placement

import org.anvilshed.core.MonotonicTime
import java.util.Locale
import kotlin.time.Duration

/**
 * Request that was sent to a target and has not ended.
 *
 * @property sentAt when the request was sent.
 * @property expectedProcessingTime time for which the target was expected to process the request, without the round
 *   trip.
 * @property loadAtSend estimated number of requests at the target when this one was sent.
 * @property slotFraction fraction of its time in flight in which the request occupies a slot; during the rest it is
 *   on the network.
 * @property rank rank of the target for the request's object.
 * @property objectAge number of requests with objects that this VM sent to the target since it last sent the object
 *   there; `null` if it never did.
 */
public class InFlightRequest internal constructor(
    internal val load: TargetLoad,
    internal val request: PlacementRequest,
    internal val sentAt: MonotonicTime,
    internal val expectedProcessingTime: Duration,
    internal val loadAtSend: Double,
    internal val slotFraction: Double,
    internal val rank: ObjectRank,
    internal val objectAge: Long?,
) {
    /** Whether the target was estimated to have a free slot, so that the time to its answer contains no waiting. */
    internal val hadFreeSlot: Boolean
        get() = loadAtSend < load.target.slots

    /** Time for which the target was expected to process the request. */
    public val expectedTime: Duration
        get() = expectedProcessingTime

    /** Rate limit that the target had stated when the request was sent, in requests per second. */
    public val rateLimitAtSend: Double? = load.rateLimit.requestsPerSecondOrNull

    /** Figures on which the choice of the target was based, for the log. */
    public val reason: String
        get() = "load=%.1f/${load.target.slots} rank=$rank expected=${expectedTime.inWholeMilliseconds}ms"
            .format(Locale.ROOT, loadAtSend) + rateLimitAtSend?.let { " limit=$it/s" }.orEmpty()
}

/** Outcome of sending a request to a target. */
public sealed interface TargetOutcome {
    /**
     * The target answered.
     *
     * @property failed whether the answer reports a failure of the target.
     * @property report load that the target reported, or `null` if the answer has no report.
     * @property answeredAt when the answer began to arrive, if the caller decided how long the rest took; otherwise
     *   `null`.
     */
    public data class Answered(
        public val failed: Boolean,
        public val report: LoadReport?,
        public val answeredAt: MonotonicTime? = null,
    ) : TargetOutcome

    /**
     * The target answered that it did not run the request.
     *
     * @property report load that the target reported, or `null` if the answer has no report.
     */
    public data class Shed(public val report: LoadReport?) : TargetOutcome

    /** No connection to the target could be opened, so nothing was sent. */
    public data object Unreachable : TargetOutcome

    /** The connection broke, or the answer was damaged, too late or for another request. */
    public data object Broken : TargetOutcome

    /** Another process listens on the target's address. */
    public data object Misdirected : TargetOutcome

    /** This VM abandoned the request; this says nothing about the target. */
    public data object Cancelled : TargetOutcome
}

/**
 * Load that a target reported with an answer.
 *
 * @property running number of requests in the target's slots.
 * @property waiting number of requests in the target's queue.
 * @property slots number of the target's slots.
 */
public data class LoadReport(public val running: Int, public val waiting: Int, public val slots: Int)
