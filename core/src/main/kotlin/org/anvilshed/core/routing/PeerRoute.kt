package org.anvilshed.core.routing

import org.anvilshed.core.MonotonicTime
import org.anvilshed.core.RegionName
import org.anvilshed.core.ServiceName
import org.anvilshed.core.VmIdentity
import org.anvilshed.core.ZoneName
import java.util.concurrent.atomic.AtomicLong

private const val SENT_SHIFT = 32
private const val ONE_SENT = 1L shl SENT_SHIFT
private const val RUNNING_MASK = ONE_SENT - 1

/**
 * What this VM knows about one peer as a place where requests of one service can run. Thread-safe and lock-free.
 */
public class PeerRoute internal constructor(
    public val vm: VmIdentity,
    public val service: ServiceName,
    public val zone: ZoneName,
    public val region: RegionName,
) {
    /** Requests in flight in the low half; requests sent since the last report in the high half. */
    private val counts = AtomicLong()

    @Volatile
    private var load: ReportedLoad? = null

    @Volatile
    internal var position: CandidatePosition? = null

    /** Whether the peer is alive, connected and not leaving; only then it is chosen. */
    @Volatile
    public var isUsable: Boolean = true

    /** Requests that were forwarded to the peer and have not ended. */
    public val inFlight: Int
        get() = (counts.get() and RUNNING_MASK).toInt()

    /** Records that the peer reported [freeSlots] free slots for the service at [measuredAt] on this VM's clock. */
    public fun recordReport(freeSlots: Int, measuredAt: MonotonicTime) {
        load = ReportedLoad(limit = freeSlots, load = 0, measuredAt)
        counts.updateAndGet { it and RUNNING_MASK }
        if (freeSlots > 0) position?.add()
    }

    /** Records that the peer refused a request for want of a slot: it counts as full until its next report. */
    public fun recordRefused(now: MonotonicTime): Unit = recordReport(0, now)

    /** Returns the number of requests that may be sent at [now]. */
    public fun assumedFree(now: MonotonicTime): Int = if (isUsable) assumedFree(counts.get(), now) else 0

    /** Counts a request to the peer if it may take one; every `true` is followed by [end]. */
    internal fun tryBegin(now: MonotonicTime): Boolean {
        while (isUsable) {
            val present = counts.get()
            if (assumedFree(present, now) <= 0) return false
            if (counts.compareAndSet(present, present + ONE_SENT + 1)) return true
        }
        return false
    }

    /** Records that a forwarded request has ended; call it once per [RouteDecision.Peer]. */
    public fun end() {
        val before = counts.getAndDecrement()
        check(before and RUNNING_MASK > 0) { "a request to $vm ended that had not begun" }
        position?.add()
    }

    /** Undoes a [tryBegin] for which nothing was sent. */
    internal fun undoBegin() {
        counts.updateAndGet { if (it >= ONE_SENT) it - ONE_SENT - 1 else it - 1 }
        position?.add()
    }

    private fun assumedFree(present: Long, now: MonotonicTime): Int {
        val report = load
        val free = if (report == null) 0 else report.assumedFree(now) - (present ushr SENT_SHIFT).toInt()
        if (free > 0) return free
        val silent = report == null || reportWeight(now - report.measuredAt) == 0.0
        val mayProbe = silent || (report.limit > 0 && report.assumedFree(now) == 0)
        return if (mayProbe && present and RUNNING_MASK == 0L) 1 else 0
    }
}
