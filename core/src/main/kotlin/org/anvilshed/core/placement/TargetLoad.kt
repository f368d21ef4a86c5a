package org.anvilshed.core.placement

import org.anvilshed.core.MonotonicTime
import org.anvilshed.core.RegionName
import org.anvilshed.core.fleet.RegisteredTarget
import org.anvilshed.core.membership.rendezvousScore
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Estimated load, speed and failures of one target, from this VM's requests, other VMs and the target's reports. Not
 * thread-safe.
 *
 * @param createdAt when this VM first received the target's registration.
 */
internal class TargetLoad(var target: RegisteredTarget, createdAt: MonotonicTime) {
    /** Region of the target, or `null` if the settings do not contain its zone. */
    var region: RegionName? = null

    /** Whether the target is outside the region of this VM. */
    var isRemote = false

    private val inFlightRequests = ArrayList<InFlightRequest>()
    private val objects = TargetCacheModel()
    private var reportedLoadOfOthers = 0.0
    private var reportedAt = createdAt - REPORT_LIFETIME
    private var fullUntil = createdAt
    private var consecutiveFailures = 0
    private var suspension = INITIAL_SUSPENSION
    private var suspendedUntil = createdAt

    /** Time until which the target asked this VM for no requests, or `null` if it never did. */
    var pausedUntil: MonotonicTime? = null
        private set

    /** Limit on the rate of requests that the target stated. */
    val rateLimit = TargetRateLimit()

    /** Credit for requests while the rate of the target is limited. */
    val rateCredit = RateCredit()
    private var senderPosition = 0
    private var senderPositionVersion = -1

    /** Slots that the requests in flight of other VMs occupy, as these VMs announced. */
    var announcedSlotsOfOthers = 0.0

    /** Recent ratio of the observed to the expected processing time; above 1 for a slow target. */
    var slowdown = 1.0
        private set

    /** Fraction of recent requests that failed at the target, or that it refused although it had a free slot. */
    var failureRate = 0.0
        private set

    /** When this VM last sent a request to the target, or `null` if it never did. */
    private var lastSentAtOrNull: MonotonicTime? = null
    private val nameHash = target.key.name.hashCode()

    /** Number of this VM's requests in flight at the target. */
    val inFlightCount: Int
        get() = inFlightRequests.size

    /** Slots that this VM's requests in flight occupy; the time on the network is subtracted. */
    var occupiedSlots = 0.0
        private set

    /** Returns the estimated number of requests at the target, from those of this VM, announcements and reports. */
    fun estimatedLoad(now: MonotonicTime): Double {
        if (now < fullUntil) return maxOf(target.slots.toDouble(), occupiedSlots)
        val reported = if (now - reportedAt < REPORT_LIFETIME) reportedLoadOfOthers else 0.0
        return occupiedSlots + maxOf(announcedSlotsOfOthers, reported)
    }

    /** Returns whether the target is cold at [now], because it or its zone was taken into use recently. */
    fun isCold(now: MonotonicTime): Boolean = now < target.coldUntil

    /** Returns whether the target gets no requests at [now] because of failures. */
    fun isSuspended(now: MonotonicTime): Boolean = now < suspendedUntil

    /** Records that the target wants no requests until [time]. */
    fun recordPause(time: MonotonicTime) {
        pausedUntil = maxOf(pausedUntil ?: time, time)
    }

    /** Returns whether the target wants no requests at [now]. */
    fun isPaused(now: MonotonicTime): Boolean = pausedUntil?.let { now < it } ?: false

    /** Returns by which factor processing takes longer than expected, including requests in flight that are overdue. */
    fun currentSlowdown(now: MonotonicTime): Double {
        var factor = slowdown
        for (inFlight in inFlightRequests) {
            val elapsedRatio = (now - inFlight.sentAt) / inFlight.expectedProcessingTime.coerceAtLeast(1.milliseconds)
            if (elapsedRatio > OVERDUE_FACTOR && elapsedRatio > factor) factor = elapsedRatio
        }
        return factor
    }

    /** Returns whether the target should get a request to measure it: it is new, or was slow or failing before. */
    fun needsExploration(now: MonotonicTime): Boolean {
        if (inFlightRequests.isNotEmpty() || announcedSlotsOfOthers > 0.0) return false
        val lastSentAt = lastSentAtOrNull ?: return true
        val isSuspect = slowdown > SUSPECT_SLOWDOWN || failureRate > SUSPECT_FAILURE_RATE
        return isSuspect && now - lastSentAt >= EXPLORATION_PERIOD * slowdown.coerceIn(1.0, MAXIMUM_SLOWDOWN)
    }

    /** Returns the rendezvous hashing score of the target for [objectHash]; the highest score is the first choice. */
    fun rendezvousScore(objectHash: Int): Long = rendezvousScore(objectHash, nameHash)

    /** Returns whether the target probably has the object of [request] cached from an earlier request of this VM. */
    fun probablyCaches(request: PlacementRequest): Boolean = request.objectKey?.let(objects::probablyCaches) ?: false

    /**
     * Returns how many requests with objects were sent to the target since the object of [request] was last sent, or
     * `null` if that is not recorded.
     */
    fun objectAgeOrNull(request: PlacementRequest): Long? = request.objectKey?.let(objects::ageOrNull)

    /** Records that [inFlight] was sent to the target at [now]. */
    fun recordSent(inFlight: InFlightRequest, now: MonotonicTime) {
        inFlightRequests.add(inFlight)
        occupiedSlots += inFlight.slotFraction
        inFlight.request.objectKey?.let(objects::recordSent)
        rateLimit.recordSent(now)
        rateCredit.recordSent(now)
        lastSentAtOrNull = now
    }

    /**
     * Records at [now] the [outcome] of [inFlight].
     *
     * @param observedSlowdown ratio of the observed to the expected processing time, or `null` if the request is no
     *   measurement of the target's speed.
     */
    fun recordOutcome(
        inFlight: InFlightRequest,
        outcome: TargetOutcome,
        observedSlowdown: Double?,
        now: MonotonicTime,
    ) {
        if (inFlightRequests.remove(inFlight)) occupiedSlots -= inFlight.slotFraction
        // Ends the sum of the rounding errors.
        if (inFlightRequests.isEmpty()) occupiedSlots = 0.0
        when (outcome) {
            is TargetOutcome.Answered -> {
                outcome.report?.let { recordReport(it, now) }
                recordFailure(outcome.failed)
                if (outcome.failed) countFailure(now) else clearFailures()
                if (observedSlowdown != null) learnSlowdown(observedSlowdown)
            }

            is TargetOutcome.Shed -> {
                outcome.report?.let { recordReport(it, now) }
                val full = outcome.report == null || outcome.report.running >= outcome.report.slots
                if (full) fullUntil = now + FULL_PERIOD else recordFailure(true)
            }

            TargetOutcome.Unreachable, TargetOutcome.Misdirected -> suspend(now)

            TargetOutcome.Broken -> {
                recordFailure(true)
                countFailure(now)
            }

            TargetOutcome.Cancelled -> Unit
        }
    }

    private fun recordReport(report: LoadReport, now: MonotonicTime) {
        reportedLoadOfOthers = (report.running + report.waiting - occupiedSlots).coerceAtLeast(0.0)
        reportedAt = now
    }

    private fun recordFailure(failed: Boolean) {
        failureRate += FAILURE_WEIGHT * ((if (failed) 1.0 else 0.0) - failureRate)
    }

    /** Returns [SharedRate.senderPosition]; computed once for each [version] of [members]. */
    fun senderPosition(version: Int, self: String, members: List<String>): Int {
        if (version != senderPositionVersion) {
            senderPosition = SharedRate.senderPosition(target.key.name, self, members)
            senderPositionVersion = version
        }
        return senderPosition
    }

    /** Records whether the target had an object [cached] that was last sent [age] requests before. */
    fun observeObject(age: Long, cached: Boolean): Unit = objects.learn(age, cached)

    private fun learnSlowdown(sample: Double) {
        slowdown += SLOWDOWN_WEIGHT * (sample.coerceIn(MINIMUM_SLOWDOWN, MAXIMUM_SLOWDOWN) - slowdown)
    }

    private fun countFailure(now: MonotonicTime) {
        if (++consecutiveFailures >= FAILURES_TO_SUSPEND) suspend(now)
    }

    private fun clearFailures() {
        consecutiveFailures = 0
        suspension = INITIAL_SUSPENSION
    }

    private fun suspend(now: MonotonicTime) {
        suspendedUntil = now + suspension
        suspension = (suspension * 2).coerceAtMost(MAXIMUM_SUSPENSION)
        consecutiveFailures = 0
    }

    companion object {
        /** Factor by which a cold target takes longer to process a request. */
        const val COLD_SLOWDOWN = 2.0

        /** Time after which a report is ignored, since most of the requests that it counted have ended. */
        private val REPORT_LIFETIME = 250.milliseconds

        /** Time for which a target counts as full after it refused a request; about then one of its slots is free. */
        private val FULL_PERIOD = 50.milliseconds

        /** Requests in flight for longer than this multiple of their expected time count as a slowdown. */
        private const val OVERDUE_FACTOR = 2.0
        private const val MINIMUM_SLOWDOWN = 0.3
        private const val MAXIMUM_SLOWDOWN = 20.0
        private const val SLOWDOWN_WEIGHT = 0.2
        private const val FAILURE_WEIGHT = 0.1

        /** Number of consecutive failures after which a target is suspended. */
        private const val FAILURES_TO_SUSPEND = 3
        private val INITIAL_SUSPENSION = 500.milliseconds
        private val MAXIMUM_SUSPENSION = 4.seconds

        /** Time after which a slow or failing target gets another request, to notice when the target has recovered. */
        private val EXPLORATION_PERIOD = 1.seconds
        private const val SUSPECT_SLOWDOWN = 1.5
        private const val SUSPECT_FAILURE_RATE = 0.1
    }
}
