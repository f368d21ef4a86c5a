package org.anvilshed.core.placement

import org.anvilshed.core.MonotonicTime
import org.anvilshed.core.fleet.RegisteredTarget
import org.anvilshed.core.membership.rendezvousScore
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** What this VM knows of the load and speed of one target. Not thread-safe. */
internal class TargetLoad(var target: RegisteredTarget, createdAt: MonotonicTime) {
    private val inFlightRequests = ArrayList<InFlightRequest>()
    private val objects = ObjectMemory()
    private var reportedOthers = 0.0
    private var reportedAt = createdAt - REPORT_LIFETIME
    private var fullUntil = createdAt
    private var consecutiveFailures = 0
    private var suspension = FIRST_SUSPENSION
    private var suspendedUntil = createdAt

    val cold = ColdAllowance()

    /** Slots that the requests in flight of other VMs take, as they announced. */
    var announcedOthers = 0.0

    /** Observed work relative to the expected work; above 1 for a slow target. */
    var speedFactor = 1.0
        private set

    /** Share of recent requests that the target failed or refused while it had room. */
    var failureShare = 0.0
        private set

    private var lastSentAt: MonotonicTime = createdAt
    private var wasUsed = false
    private val nameHash = target.key.name.hashCode()

    val inFlightCount: Int
        get() = inFlightRequests.size

    /** Slots that the requests in flight of this VM take; one that is under way takes none. */
    val occupiedSlots: Double
        get() = inFlightRequests.sumOf { it.slotShare }

    /** Requests that are believed to be at the target, from the own ones, the other VMs' and the target's reports. */
    fun load(now: MonotonicTime): Double {
        if (now < fullUntil) return maxOf(target.slots.toDouble(), occupiedSlots)
        val reported = if (now - reportedAt < REPORT_LIFETIME) reportedOthers else 0.0
        return occupiedSlots + maxOf(announcedOthers, reported)
    }

    fun isCold(now: MonotonicTime): Boolean = now < target.coldUntil

    fun isSuspended(now: MonotonicTime): Boolean = now < suspendedUntil

    /** Factor by which work takes longer here, also judged by requests that should have been answered by now. */
    fun slowness(now: MonotonicTime): Double {
        var factor = speedFactor
        for (inFlight in inFlightRequests) {
            val overdue = (now - inFlight.sentAt) / inFlight.expected.coerceAtLeast(1.milliseconds)
            if (overdue > OVERDUE_FACTOR && overdue > factor) factor = overdue
        }
        return factor
    }

    /** Whether the target should get a request to learn how it does now: it is new, or was slow or failing before. */
    fun needsExploration(now: MonotonicTime): Boolean {
        if (inFlightRequests.isNotEmpty() || announcedOthers > 0.0) return false
        if (!wasUsed) return true
        val doubtful = speedFactor > DOUBTFUL_SPEED || failureShare > DOUBTFUL_FAILURES
        return doubtful && now - lastSentAt >= EXPLORATION_PERIOD * speedFactor.coerceIn(1.0, SLOWEST_FACTOR)
    }

    /** Position of this target in the order in which VMs prefer targets for the object with the hash [objectHash]. */
    fun rendezvousScore(objectHash: Int): Long = rendezvousScore(objectHash, nameHash)

    /** Whether the target probably knows the object of [request] from an earlier request of this VM. */
    fun knows(request: PlacementRequest): Boolean = request.objectKey?.let(objects::knows) ?: false

    /** Requests with objects that were sent here since the object of [request] was, or `null`. */
    fun objectAgeOrNull(request: PlacementRequest): Long? = request.objectKey?.let(objects::ageOrNull)

    fun recordSent(inFlight: InFlightRequest, now: MonotonicTime) {
        inFlightRequests.add(inFlight)
        inFlight.request.objectKey?.let(objects::recordSent)
        lastSentAt = now
        wasUsed = true
    }

    /**
     * Takes over the end of [inFlight].
     *
     * @param slowdown work of the request relative to what it should have been, or `null` if it says nothing.
     */
    fun recordEnd(inFlight: InFlightRequest, end: TargetOutcome, slowdown: Double?, now: MonotonicTime) {
        inFlightRequests.remove(inFlight)
        when (end) {
            is TargetOutcome.Answered -> {
                end.report?.let { recordReport(it, now) }
                recordFailure(end.failed)
                if (end.failed) countFailure(now) else clearFailures()
                if (slowdown != null) learnSpeed(slowdown)
            }

            is TargetOutcome.Shed -> {
                end.report?.let { recordReport(it, now) }
                val full = end.report == null || end.report.running >= end.report.slots
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
        reportedOthers = (report.running + report.waiting - occupiedSlots).coerceAtLeast(0.0)
        reportedAt = now
    }

    private fun recordFailure(failed: Boolean) {
        failureShare += FAILURE_WEIGHT * ((if (failed) 1.0 else 0.0) - failureShare)
    }

    /** Takes over whether the target knew an object that was sent [age] requests before. */
    fun learnObject(age: Long, known: Boolean): Unit = objects.learn(age, known)

    private fun learnSpeed(sample: Double) {
        speedFactor += SPEED_WEIGHT * (sample.coerceIn(FASTEST_FACTOR, SLOWEST_FACTOR) - speedFactor)
    }

    private fun countFailure(now: MonotonicTime) {
        if (++consecutiveFailures >= FAILURES_TO_SUSPEND) suspend(now)
    }

    private fun clearFailures() {
        consecutiveFailures = 0
        suspension = FIRST_SUSPENSION
    }

    private fun suspend(now: MonotonicTime) {
        suspendedUntil = now + suspension
        suspension = (suspension * 2).coerceAtMost(LONGEST_SUSPENSION)
        consecutiveFailures = 0
    }

    companion object {
        /** Targets that just started work about this many times as long. */
        const val COLD_FACTOR = 2.0

        /** A report is of no use once most of the requests it counted have ended. */
        private val REPORT_LIFETIME = 250.milliseconds

        /** A full target is asked again after about the time in which one of its slots becomes free. */
        private val FULL_PERIOD = 50.milliseconds

        /** Requests this many times over their expected time count against the target's speed. */
        private const val OVERDUE_FACTOR = 2.0
        private const val FASTEST_FACTOR = 0.3
        private const val SLOWEST_FACTOR = 20.0
        private const val SPEED_WEIGHT = 0.2
        private const val FAILURE_WEIGHT = 0.1

        private const val FAILURES_TO_SUSPEND = 3
        private val FIRST_SUSPENSION = 500.milliseconds
        private val LONGEST_SUSPENSION = 4.seconds

        /** A target that was slow or failing gets a request after this time, so that it is used once it recovered. */
        private val EXPLORATION_PERIOD = 1.seconds
        private const val DOUBTFUL_SPEED = 1.5
        private const val DOUBTFUL_FAILURES = 0.1
    }
}
