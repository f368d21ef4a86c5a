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

/** Time after the last failure in which a failing target is avoided if another one is free. */
private val FAILURE_MEMORY = 5.seconds

/**
 * What this VM knows about one target. The object stays the same while bundles change, so that a holder who chose the
 * target earlier sees every leaving mark that is set later. Thread-safe.
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
    private val running = AtomicInteger()
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

    /** Exponentially weighted latency of successful requests in nanoseconds; 0 before the first one. */
    @Volatile
    public var latencyNanoseconds: Double = 0.0
        private set

    /** Slots that the bundle gives to the target, of which this VM owns a part. */
    @Volatile
    public var slots: Int = 1
        internal set

    /** Requests of this VM that occupy a slot of the target. */
    public val inFlight: Int
        get() = running.get()

    /** Sources that say that the target is leaving. */
    public val leavingSources: Set<LeavingSource>
        get() {
            val planned = if (plannedLeave?.hasCome == true) LeavingSource.PLANNED_TIME.bit else 0
            val bits = leaving.get() or planned
            return LeavingSource.entries.filterTo(mutableSetOf()) { bits and it.bit != 0 }
        }

    /** Whether this VM itself saw the target drain, so that its heartbeats have to say so; not what peers told it. */
    public val isDrainingSeen: Boolean
        get() = leaving.get() and (LeavingSource.HEALTH.bit or LeavingSource.ANSWER.bit) != 0

    /** Returns whether the target must not receive new requests; a wall clock that steps back revokes nothing. */
    public fun isLeaving(wallNow: Instant): Boolean {
        // Checked first: the planned time has to be remembered even while another source marks the target.
        val planned = plannedLeave?.let { it.hasCome || it.check(wallNow) } == true
        return planned || leaving.get() != 0
    }

    /** Last check immediately before a dispatch: returns why the target must not receive the request, or `null`. */
    public fun dispatchRefusalOrNull(wallNow: Instant): RefusalReason? =
        if (isLeaving(wallNow)) RefusalReason.NO_TARGET else null

    /** Records that [source] says that the target is leaving. */
    public fun mark(source: LeavingSource) {
        leaving.updateAndGet { it or source.bit }
    }

    /** Records that [source] no longer says that the target is leaving. */
    public fun unmark(source: LeavingSource) {
        leaving.updateAndGet { it and source.bit.inv() }
    }

    /**
     * Records a health probe that was measured at [measuredAt]; an older one than the last has no effect.
     *
     * A `Draining` answer outweighs health, which may be misleading: it is forgotten only when the target shows signs
     * of a restart, that is `cold`, or no answer followed by `ready`.
     */
    public fun recordHealth(health: TargetProbeResult, load: ReportedLoad?, measuredAt: MonotonicTime): Unit =
        synchronized(this) {
            if (measuredAt < lastHealthAt) return
            lastHealthAt = measuredAt
            if (load != null) this.load = load
            when (health) {
                TargetProbeResult.UNREACHABLE -> wasUnreachable = true
                TargetProbeResult.DRAINING -> mark(LeavingSource.HEALTH)
                TargetProbeResult.COLD -> {
                    cold = true
                    recordReturn()
                }
                TargetProbeResult.READY -> {
                    if (cold) slowStartFrom = measuredAt.nanoseconds
                    cold = false
                    unmark(LeavingSource.HEALTH)
                    if (wasUnreachable) recordReturn()
                }
            }
        }

    /** Records a `Draining` answer to a request. */
    public fun recordDrainingAnswer(): Unit = synchronized(this) {
        wasUnreachable = false
        mark(LeavingSource.ANSWER)
    }

    /** Records a successful request that took [latency]. */
    public fun recordSuccess(latency: Duration): Unit = synchronized(this) {
        failures.record(failed = false)
        penalty = 0
        val sample = latency.inWholeNanoseconds.toDouble()
        val mean = latencyNanoseconds
        latencyNanoseconds = if (mean == 0.0) sample else mean + LATENCY_WEIGHT * (sample - mean)
    }

    /** Records a failed request: connection refused or lost, or no answer in time. A shed request is no failure. */
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

    /** Largest number of requests of this VM at [now] during slow start: one, and one more each second. */
    public fun slowStartLimit(now: MonotonicTime): Int {
        if (cold) return 1
        val steps = (now.nanoseconds - slowStartFrom) / SLOW_START_STEP.inWholeNanoseconds
        return 1 + steps.coerceIn(0, slots.toLong()).toInt()
    }

    /** Returns whether the target may receive one more request of this VM, slot ownership aside. */
    public fun isAvailable(now: MonotonicTime, wallNow: Instant): Boolean =
        !isLeaving(wallNow) && !isEjected(now) && running.get() < slowStartLimit(now)

    /** Returns the load by which targets are compared: requests in flight, reported load, and recent failures. */
    public fun score(now: MonotonicTime): Double {
        val reported = load?.assumedLoad(now) ?: slots.toDouble()
        val recentFailures = if (now.nanoseconds - failedAt < FAILURE_MEMORY.inWholeNanoseconds) penalty else 0
        return running.get() + reported + recentFailures
    }

    /** Counts a request to the target if slow start permits; every `true` is followed by [end]. */
    internal fun tryBegin(now: MonotonicTime): Boolean {
        val limit = slowStartLimit(now)
        while (true) {
            val count = running.get()
            if (count >= limit) return false
            if (running.compareAndSet(count, count + 1)) return true
        }
    }

    /**
     * Records that a request no longer occupies a slot of the target; call it once per [RouteDecision.LocalTarget],
     * after the slot was released and before the queue is polled.
     */
    public fun end() {
        undoBegin()
        position?.add()
    }

    /** Undoes a [tryBegin] for which nothing was sent; no room appears by it. */
    internal fun undoBegin() {
        check(running.decrementAndGet() >= 0) { "a request to $name ended that had not begun" }
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

    private fun recordReturn() {
        wasUnreachable = false
        unmark(LeavingSource.HEALTH)
        unmark(LeavingSource.ANSWER)
    }
}

/** Planned time to leave; [hasCome] stays `true` once the wall clock has shown it. */
private class PlannedLeave(val at: Instant) {
    @Volatile
    var hasCome = false
        private set

    fun check(wallNow: Instant): Boolean {
        if (wallNow >= at) hasCome = true
        return hasCome
    }
}
