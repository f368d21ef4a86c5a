package org.anvilshed.core.lifecycle

import org.anvilshed.core.MonotonicTime
import org.anvilshed.core.VmName
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds
import kotlin.time.Duration.Companion.seconds

private const val CLOSED = Int.MIN_VALUE
private const val NOT_SET = Long.MIN_VALUE
private const val EXIT_CLEAN = 0
private const val EXIT_WORK_REMAINS = 3

/** Time for the announcement to reach the peers and for answers on their way to reach the callers. */
private val ANNOUNCEMENT_MARGIN = 2.seconds

/** How far the stop of an entry VM has come. */
public enum class DrainPhase {
    SERVING,

    /** Announced as leaving; look-ups no longer list it, requests are still accepted. */
    LEAVING,

    /** A second stop signal came: new requests are refused, requests in flight are completed. */
    REFUSING,

    /** Nothing begins any more; the process is about to exit. */
    CLOSED,
}

/**
 * Graceful shutdown of one entry VM.
 *
 * Count every request, also one that will be refused and one that a peer forwarded, with [begin] and [end], so that no
 * answer is cut off. Thread-safe and lock-free.
 *
 * @property self this VM.
 * @property drainLimit time from the first stop signal after which the process exits even if work remains.
 */
public class DrainState(public val self: VmName, public val drainLimit: Duration = 120.seconds) {
    private val inFlight = AtomicInteger()
    private val signals = AtomicInteger()
    private val leavingSince = AtomicLong(NOT_SET)
    private val listedUntil = AtomicLong(NOT_SET)
    private val exitCode = AtomicInteger(EXIT_CLEAN)

    /** Requests that have begun and not ended. */
    public val requestsInFlight: Int
        get() = inFlight.get().coerceAtLeast(0)

    public val phase: DrainPhase
        get() = when {
            inFlight.get() == CLOSED -> DrainPhase.CLOSED
            signals.get() == 0 -> DrainPhase.SERVING
            signals.get() == 1 -> DrainPhase.LEAVING
            else -> DrainPhase.REFUSING
        }

    /** Whether this VM has to announce `leaving` to its peers and to send `Connection: close`. */
    public val isLeaving: Boolean
        get() = signals.get() > 0

    /** Whether a request that has begun may be admitted; otherwise it is refused with reason `leaving`. */
    public val acceptsNewRequests: Boolean
        get() = signals.get() <= 1

    /** Returns whether a look-up answer may list [vm]; [isPeerLeaving] tells whether a peer has announced its leave. */
    public fun mayList(vm: VmName, isPeerLeaving: (VmName) -> Boolean): Boolean =
        if (vm == self) !isLeaving else !isPeerLeaving(vm)

    /**
     * Records that an answer listing this VM is given at [now] and may be used for [timeToLive]. Call it before [end]
     * of the look-up, with a reading of the clock after [mayList]. Call it also when a bundle comes into force that
     * changes the time to live, with the longer of the two, since peers may list this VM with either.
     */
    public fun recordListed(now: MonotonicTime, timeToLive: Duration) {
        listedUntil.accumulateAndGet((now + timeToLive).nanoseconds, ::maxOf)
    }

    /**
     * Records a stop signal. The first one starts the drain, a second one stops the admission of new requests.
     *
     * @param lookupTimeToLive time to live of the answers that peers give, from the bundle in force.
     */
    public fun requestStop(now: MonotonicTime, lookupTimeToLive: Duration) {
        // The end of the listing is set first: a concurrent step that sees the stop must not see no listing.
        if (signals.get() == 0) recordListed(now, lookupTimeToLive)
        signals.incrementAndGet()
        leavingSince.compareAndSet(NOT_SET, now.nanoseconds)
    }

    /** Counts a request that arrived. Returns `false` if the VM is closed; its connection is then to be closed. */
    public fun begin(): Boolean {
        while (true) {
            val count = inFlight.get()
            if (count == CLOSED) return false
            if (inFlight.compareAndSet(count, count + 1)) return true
        }
    }

    /** Counts a request whose answer was sent completely or whose connection was lost. */
    public fun end() {
        inFlight.updateAndGet { count ->
            check(count == CLOSED || count > 0) { "a request ended that had not begun" }
            if (count == CLOSED) CLOSED else count - 1
        }
    }

    /**
     * Returns what to do at [now]; call it at each [end] after a stop signal and every 100 ms or so.
     *
     * Once it returns [DrainStep.Exit], no request begins any more.
     */
    public fun step(now: MonotonicTime): DrainStep {
        val since = leavingSince.get()
        if (since == NOT_SET) return DrainStep.Serve
        // Read before the remaining time: a look-up that began earlier may list this VM until it ends.
        val count = inFlight.get()
        if (count == CLOSED) return DrainStep.Exit(exitCode.get())
        val remaining = if (acceptsNewRequests) remainingListing(now) else Duration.ZERO
        val overLimit = (now - MonotonicTime(since)) >= drainLimit
        return when {
            count == 0 && (remaining == Duration.ZERO || overLimit) && closeIfIdle() -> DrainStep.Exit(EXIT_CLEAN)
            overLimit && count > 0 -> closeWithWorkRemaining()
            else -> DrainStep.Wait(requestsInFlight, remaining)
        }
    }

    private fun remainingListing(now: MonotonicTime): Duration =
        ((listedUntil.get() - now.nanoseconds).nanoseconds + ANNOUNCEMENT_MARGIN).coerceAtLeast(Duration.ZERO)

    private fun closeIfIdle(): Boolean = inFlight.compareAndSet(0, CLOSED)

    private fun closeWithWorkRemaining(): DrainStep {
        exitCode.set(EXIT_WORK_REMAINS)
        inFlight.set(CLOSED)
        return DrainStep.Exit(EXIT_WORK_REMAINS)
    }
}
