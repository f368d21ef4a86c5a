package org.anvilshed.core.routing

import org.anvilshed.core.MonotonicTime
import org.anvilshed.core.RegionName
import org.anvilshed.core.ServiceName
import org.anvilshed.core.VmIdentity
import org.anvilshed.core.ZoneName
import java.util.concurrent.atomic.AtomicLong

private const val SENT_SHIFT = 32
private const val ONE_SENT = 1L shl SENT_SHIFT
private const val IN_FLIGHT_MASK = ONE_SENT - 1

/**
 * One peer as a destination for requests of one service: its latest report and the requests in flight to it.
 *
 * Thread-safe and lock-free.
 */
public class PeerRoute internal constructor(
    public val vm: VmIdentity,
    public val service: ServiceName,
    public val zone: ZoneName,
    public val region: RegionName,
) {
    /** Requests in flight in the lower 32 bits; requests sent since the latest report in the upper 32 bits. */
    private val counts = AtomicLong()

    @Volatile
    private var report: ReportedLoad? = null

    @Volatile
    internal var position: CandidatePosition? = null

    /** Whether the peer is alive, connected and not leaving; a peer that is not usable is never chosen. */
    @Volatile
    public var isUsable: Boolean = true

    /** Requests that were forwarded to the peer and have not ended. */
    public val inFlight: Int
        get() = (counts.get() and IN_FLIGHT_MASK).toInt()

    /** Records that the peer reported [freeSlots] free slots for the service at [measuredAt] on this VM's clock. */
    public fun recordReport(freeSlots: Int, measuredAt: MonotonicTime) {
        report = ReportedLoad(limit = freeSlots, load = 0, measuredAt)
        counts.updateAndGet { it and IN_FLIGHT_MASK }
        if (freeSlots > 0) position?.add()
    }

    /** Records that the peer refused a request for lack of a free slot; it counts as full until its next report. */
    public fun recordRefused(now: MonotonicTime): Unit = recordReport(0, now)

    /** Returns how many more requests may be sent to the peer at [now]. */
    public fun estimatedFreeSlots(now: MonotonicTime): Int = if (isUsable) estimatedFreeSlots(counts.get(), now) else 0

    /** Counts a request as in flight if the peer may get one more; each `true` must be followed by [end]. */
    internal fun tryBegin(now: MonotonicTime): Boolean {
        while (isUsable) {
            val current = counts.get()
            if (estimatedFreeSlots(current, now) <= 0) return false
            if (counts.compareAndSet(current, current + ONE_SENT + 1)) return true
        }
        return false
    }

    /** Records that a forwarded request has ended. Call it once for each [RouteDecision.Peer]. */
    public fun end() {
        val before = counts.getAndDecrement()
        check(before and IN_FLIGHT_MASK > 0) { "a request to peer $vm ended that was not in flight" }
        position?.add()
    }

    /** Undoes a [tryBegin] after which nothing was sent. */
    internal fun undoBegin() {
        counts.updateAndGet { if (it >= ONE_SENT) it - ONE_SENT - 1 else it - 1 }
        position?.add()
    }

    private fun estimatedFreeSlots(current: Long, now: MonotonicTime): Int {
        val report = report
        val free = if (report == null) 0 else report.estimatedFreeSlots(now) - (current ushr SENT_SHIFT).toInt()
        if (free > 0) return free
        // One request at a time probes a silent peer and a peer whose report is so old that none of its slots counts.
        val silent = report == null || reportWeight(now - report.measuredAt) == 0.0
        val mayProbe = silent || (report.limit > 0 && report.estimatedFreeSlots(now) == 0)
        return if (mayProbe && current and IN_FLIGHT_MASK == 0L) 1 else 0
    }
}
