package org.anvilshed.core.routing

import org.anvilshed.core.MonotonicTime
import org.anvilshed.core.RefusalReason
import org.anvilshed.core.ServiceName
import org.anvilshed.core.TargetName
import org.anvilshed.core.ZoneName
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

private const val LATENCY_WEIGHT = 0.2
private const val LARGEST_FAILURE_PENALTY = 8
private val SLOW_START_STEP = 1.seconds

/** Time after the latest failure in which a failing target is avoided if another target is free. */
private val FAILURE_PENALTY_TIME = 5.seconds

/**
 * State of one target as this VM observes it. The object outlives changes of the bundle, so that a request for which
 * the target was chosen earlier sees every leaving mark that is set later. Thread-safe.
 */
public class TargetState internal constructor(
    public val name: TargetName,
    public val service: ServiceName,
    public val zone: ZoneName,
    public val address: String,
    private val group: EjectionGroup,
    createdAt: MonotonicTime,
) {
    private val leaving = AtomicInteger()
    private val inFlightCount = AtomicInteger()
    private val failures = FailureWindow()
    private var lastHealthAt = createdAt
    private var wasUnreachable = false

    @Volatile
    private var plannedLeave: PlannedLeave? = null

    @Volatile
    private var load: ReportedLoad? = null

    @Volatile
    private var ejectedUntil = createdAt.nanoseconds

    @Volatile
    private var slowStartFrom = createdAt.nanoseconds

    @Volatile
    private var cold = false

    @Volatile
    private var penalty = 0

    @Volatile
    private var failedAt = createdAt.nanoseconds

    @Volatile
    internal var position: CandidatePosition? = null

    /** Exponentially weighted mean latency of successful requests in nanoseconds; 0 before the first success. */
    @Volatile
    public var latencyNanoseconds: Double = 0.0
        private set

    /** Slots of the target according to the bundle, of which this VM owns a part. */
    @Volatile
    public var slots: Int = 1
        internal set

    /** Requests of this VM that occupy a slot of the target. */
    public val inFlight: Int
        get() = inFlightCount.get()

    /** Sources that report the target as leaving. */
    public val leavingSources: Set<LeavingSource>
        get() {
            val planned = if (plannedLeave?.isReached == true) LeavingSource.PLANNED_TIME.bit else 0
            val bits = leaving.get() or planned
            return LeavingSource.entries.filterTo(mutableSetOf()) { bits and it.bit != 0 }
        }

    /** Whether this VM itself observed the target as draining, and so announces it; marks of peers do not count. */
    public val isDrainingObserved: Boolean
        get() = leaving.get() and (LeavingSource.HEALTH.bit or LeavingSource.ANSWER.bit) != 0

    /** Returns whether the target must not receive new requests; a wall clock that steps back does not end this. */
    public fun isLeaving(wallNow: Instant): Boolean {
        // Checked first, since the planned time must be recorded as reached even while another source marks the target.
        val planned = plannedLeave?.let { it.isReached || it.check(wallNow) } == true
        return planned || leaving.get() != 0
    }

    /** Returns why the target must not receive a request, or `null`; the last check immediately before a dispatch. */
    public fun dispatchRefusalOrNull(wallNow: Instant): RefusalReason? =
        if (isLeaving(wallNow)) RefusalReason.NO_TARGET else null

    /** Records that [source] reports the target as leaving. */
    public fun markLeaving(source: LeavingSource) {
        leaving.updateAndGet { it or source.bit }
    }

    /** Records that [source] no longer reports the target as leaving. */
    public fun unmarkLeaving(source: LeavingSource) {
        leaving.updateAndGet { it and source.bit.inv() }
    }

    /**
     * Records the result of a health probe that was measured at [measuredAt]. A result that is older than the latest
     * one has no effect.
     *
     * A `Draining` answer to a request takes precedence over health reports, which may be wrong. The answer is cleared
     * only when the target shows signs of a restart: `cold`, or no answer to a probe followed by `ready`.
     */
    public fun recordHealth(result: TargetProbeResult, load: ReportedLoad?, measuredAt: MonotonicTime): Unit =
        synchronized(this) {
            if (measuredAt < lastHealthAt) return
            lastHealthAt = measuredAt
            if (load != null) this.load = load
            when (result) {
                TargetProbeResult.UNREACHABLE -> wasUnreachable = true
                TargetProbeResult.DRAINING -> markLeaving(LeavingSource.HEALTH)
                TargetProbeResult.COLD -> {
                    cold = true
                    recordRestart()
                }
                TargetProbeResult.READY -> {
                    if (cold) slowStartFrom = measuredAt.nanoseconds
                    cold = false
                    unmarkLeaving(LeavingSource.HEALTH)
                    if (wasUnreachable) recordRestart()
                }
            }
        }

    /** Records a `Draining` answer to a request. */
    public fun recordDrainingAnswer(): Unit = synchronized(this) {
        wasUnreachable = false
        markLeaving(LeavingSource.ANSWER)
    }

    /** Records a successful request that took [latency]. */
    public fun recordSuccess(latency: Duration): Unit = synchronized(this) {
        failures.record(failed = false)
        penalty = 0
        val sample = latency.inWholeNanoseconds.toDouble()
        val mean = latencyNanoseconds
        latencyNanoseconds = if (mean == 0.0) sample else mean + LATENCY_WEIGHT * (sample - mean)
    }

    /** Records a failed request: connection refused or lost, or no answer in time. A shed request is not a failure. */
    public fun recordFailure(now: MonotonicTime) {
        val failing = synchronized(this) {
            failures.record(failed = true)
            penalty = failures.consecutiveFailures.coerceAtMost(LARGEST_FAILURE_PENALTY)
            failedAt = now.nanoseconds
            failures.isFailing
        }
        if (failing && !isEjected(now)) group.ejectIfAllowed(now) { eject(now) }
    }

    /** Whether the target is ejected at [now] because its requests failed. */
    public fun isEjected(now: MonotonicTime): Boolean = now.nanoseconds < ejectedUntil

    /** Returns how many requests of this VM slow start permits at [now]: one, and one more after each second. */
    public fun slowStartLimit(now: MonotonicTime): Int {
        if (cold) return 1
        val steps = (now.nanoseconds - slowStartFrom) / SLOW_START_STEP.inWholeNanoseconds
        return 1 + steps.coerceIn(0, slots.toLong()).toInt()
    }

    /** Returns whether the target may receive one more request of this VM; ownership of slots is not checked. */
    public fun isAvailable(now: MonotonicTime, wallNow: Instant): Boolean =
        !isLeaving(wallNow) && !isEjected(now) && inFlightCount.get() < slowStartLimit(now)

    /** Returns the load by which targets are compared: requests in flight, estimated load and recent failures. */
    public fun score(now: MonotonicTime): Double {
        val reported = load?.estimatedLoad(now) ?: slots.toDouble()
        val recentFailures = if (now.nanoseconds - failedAt < FAILURE_PENALTY_TIME.inWholeNanoseconds) penalty else 0
        return inFlightCount.get() + reported + recentFailures
    }

    /** Counts a request as in flight if slow start permits it; each `true` must be followed by [end] or [undoBegin]. */
    internal fun tryBegin(now: MonotonicTime): Boolean {
        val limit = slowStartLimit(now)
        while (true) {
            val count = inFlightCount.get()
            if (count >= limit) return false
            if (inFlightCount.compareAndSet(count, count + 1)) return true
        }
    }

    /**
     * Records that a request no longer occupies a slot of the target. Call it once for each
     * [RouteDecision.LocalTarget], after the slot was released and before the queue is polled.
     */
    public fun end() {
        undoBegin()
        position?.add()
    }

    /** Undoes a [tryBegin] after which nothing was sent; no slot becomes free, so the candidates stay as they are. */
    internal fun undoBegin() {
        check(inFlightCount.decrementAndGet() >= 0) { "a request to target $name ended that was not in flight" }
    }

    internal fun configure(slots: Int, leavesAt: Instant?) {
        this.slots = slots
        if (plannedLeave?.at != leavesAt) plannedLeave = leavesAt?.let { PlannedLeave(it) }
    }

    private fun eject(now: MonotonicTime): Unit = synchronized(this) {
        if (isEjected(now)) return
        val until = failures.eject(now).nanoseconds
        slowStartFrom = until
        ejectedUntil = until
    }

    private fun recordRestart() {
        wasUnreachable = false
        unmarkLeaving(LeavingSource.HEALTH)
        unmarkLeaving(LeavingSource.ANSWER)
    }
}

/** Planned time to leave; [isReached] stays `true` once the wall clock has reached the time. */
private class PlannedLeave(val at: Instant) {
    @Volatile
    var isReached = false
        private set

    fun check(wallNow: Instant): Boolean {
        if (wallNow >= at) isReached = true
        return isReached
    }
}
