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
private const val EXIT_CODE_CLEAN = 0
private const val EXIT_CODE_WORK_REMAINS = 3

/** Time for the announcement to reach the peers, and for lookup answers in transit to reach the callers. */
private val ANNOUNCEMENT_MARGIN = 2.seconds

/** Phase of the graceful shutdown of an entry VM. */
public enum class DrainPhase {
    /** No stop signal has come. */
    SERVING,

    /** The VM is announced as leaving: lookup answers no longer list it, and requests are still accepted. */
    LEAVING,

    /** A second stop signal has come: new requests are refused, and requests in flight are completed. */
    REFUSING,

    /** No request can begin any more; the process is about to exit. */
    CLOSED,
}

/**
 * Graceful shutdown of one entry VM.
 *
 * Every request is counted with [begin] and [end], including those that will be refused or were forwarded by a peer,
 * so that the process does not exit before it has sent their answers. This class is thread-safe and lock-free.
 *
 * @property self this VM.
 * @property drainLimit time from the first stop signal after which the process exits even if work remains.
 */
public class DrainState(public val self: VmName, public val drainLimit: Duration = 120.seconds) {
    private val inFlight = AtomicInteger()
    private val signals = AtomicInteger()
    private val leavingSince = AtomicLong(NOT_SET)
    private val listedUntil = AtomicLong(NOT_SET)
    private val exitCode = AtomicInteger(EXIT_CODE_CLEAN)

    /** Number of requests that have begun and not ended. */
    public val requestsInFlight: Int
        get() = inFlight.get().coerceAtLeast(0)

    /** Present phase of the shutdown. */
    public val phase: DrainPhase
        get() = when {
            inFlight.get() == CLOSED -> DrainPhase.CLOSED
            signals.get() == 0 -> DrainPhase.SERVING
            signals.get() == 1 -> DrainPhase.LEAVING
            else -> DrainPhase.REFUSING
        }

    /** Whether this VM must announce `leaving` to its peers and send `Connection: close` to its callers. */
    public val isLeaving: Boolean
        get() = signals.get() > 0

    /** Whether a request that has begun may be admitted; otherwise the request is refused with reason `leaving`. */
    public val acceptsNewRequests: Boolean
        get() = signals.get() <= 1

    /** Returns whether a lookup answer may list [vm]; [isPeerLeaving] says whether a peer has announced `leaving`. */
    public fun mayList(vm: VmName, isPeerLeaving: (VmName) -> Boolean): Boolean =
        if (vm == self) !isLeaving else !isPeerLeaving(vm)

    /**
     * Records that a lookup answer lists this VM at [now] and may be used for [timeToLive].
     *
     * To be called before [end] of the lookup request, with a clock reading taken after [mayList]. Also to be called
     * when a new bundle changes the time to live, with the longer of the old and the new one, since the answers of
     * peers may list this VM with either.
     */
    public fun recordListed(now: MonotonicTime, timeToLive: Duration) {
        listedUntil.accumulateAndGet((now + timeToLive).nanoseconds, ::maxOf)
    }

    /**
     * Records a stop signal. The first signal starts the drain, the second one stops the admission of new requests.
     *
     * @param lookupTimeToLive time to live of the lookup answers of peers, from the bundle in force.
     */
    public fun requestStop(now: MonotonicTime, lookupTimeToLive: Duration) {
        // Set before the signal is counted: a concurrent step that sees the stop must also see until when lookup
        // answers may list this VM.
        if (signals.get() == 0) recordListed(now, lookupTimeToLive)
        signals.incrementAndGet()
        leavingSince.compareAndSet(NOT_SET, now.nanoseconds)
    }

    /** Counts a request that arrived. Returns `false` if the VM is closed; the caller then closes the connection. */
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
     * Returns what to do at [now]. To be called after each [end] once a stop signal has come, and about every 100 ms.
     *
     * Once it returns [DrainStep.Exit], no request begins any more.
     */
    public fun step(now: MonotonicTime): DrainStep {
        val since = leavingSince.get()
        if (since == NOT_SET) return DrainStep.Serve
        // Read before the remaining time, since a lookup request in flight can still prolong the listing until it ends.
        val count = inFlight.get()
        if (count == CLOSED) return DrainStep.Exit(exitCode.get())
        val remaining = if (acceptsNewRequests) remainingListing(now) else Duration.ZERO
        val overLimit = (now - MonotonicTime(since)) >= drainLimit
        return when {
            count == 0 && (remaining == Duration.ZERO || overLimit) && closeIfIdle() -> DrainStep.Exit(EXIT_CODE_CLEAN)
            overLimit && count > 0 -> closeWithWorkRemaining()
            else -> DrainStep.Wait(requestsInFlight, remaining)
        }
    }

    private fun remainingListing(now: MonotonicTime): Duration =
        ((listedUntil.get() - now.nanoseconds).nanoseconds + ANNOUNCEMENT_MARGIN).coerceAtLeast(Duration.ZERO)

    private fun closeIfIdle(): Boolean = inFlight.compareAndSet(0, CLOSED)

    private fun closeWithWorkRemaining(): DrainStep {
        exitCode.set(EXIT_CODE_WORK_REMAINS)
        inFlight.set(CLOSED)
        return DrainStep.Exit(EXIT_CODE_WORK_REMAINS)
    }
}
