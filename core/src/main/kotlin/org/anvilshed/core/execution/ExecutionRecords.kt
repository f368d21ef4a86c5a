package org.anvilshed.core.execution

import org.anvilshed.core.MonotonicTime
import org.anvilshed.core.RefusalReason
import org.anvilshed.core.UnknownReason
import org.anvilshed.core.VmIdentity
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong

/**
 * Table of the non-idempotent requests that one process owns. It keeps each request from being dispatched twice.
 *
 * Order of calls: [admit] before any other check of the request, so that a duplicate of a request that ran is never
 * refused as not run; then [Execution.refuse], or [Execution.dispatch] followed by [Execution.complete],
 * [Execution.endUnknown] or [Execution.returnNotRun]. Thread-safe; no lock spans more than one record.
 *
 * @property owner process that owns this table.
 */
public class ExecutionRecords(
    public val owner: VmIdentity,
    public val windows: IdentifierWindows,
    private val limits: ExecutionLimits = ExecutionLimits(),
) {
    private val records = ConcurrentHashMap<RequestIdentifier, Execution>()
    private val reserved = AtomicInteger()
    private val answerBytes = AtomicLong()

    /** Number of records. */
    public val recordCount: Int
        get() = records.size

    /** Sum of the bytes of all recorded answers. */
    public val recordedBytes: Long
        get() = answerBytes.get()

    /**
     * Admits the request or joins it to its earlier arrival.
     *
     * @param readClock fresh reading of the owner's clock. It is read again after the record is stored: a thread that
     * was paused before that for so long that an earlier record was removed must not run the request again.
     */
    public fun admit(identifier: RequestIdentifier, readClock: () -> MonotonicTime): ExecutionAdmission {
        if (identifier.owner.name != owner.name) return ExecutionAdmission.OwnedElsewhere(identifier.owner)
        if (identifier.owner != owner) return ExecutionAdmission.Unknown(UnknownReason.OWNER_REPLACED)
        while (true) {
            liveRecord(identifier)?.let { return ExecutionAdmission.Duplicate(it) }
            windowFault(identifier, readClock())?.let { return it }
            if (!reserveRecord()) {
                // The earlier arrival may have taken the last place since the first look.
                return liveRecord(identifier)?.let { ExecutionAdmission.Duplicate(it) }
                    ?: ExecutionAdmission.Refused(RefusalReason.RECORDS_FULL)
            }
            val created = Execution(identifier, this)
            if (records.putIfAbsent(identifier, created) == null) {
                return windowFault(identifier, readClock())?.also { created.refuse(RefusalReason.DEADLINE_PASSED) }
                    ?: ExecutionAdmission.Admitted(created)
            }
            reserved.decrementAndGet()
        }
    }

    /** Removes the records whose window is no longer kept at [now]; call it at least once per window. */
    public fun expire(now: MonotonicTime) {
        val oldest = windows.oldestRetainedWindow(now)
        records.values.forEach { record ->
            if (record.identifier.window < oldest) {
                val bytes = record.expire()
                if (remove(record)) releaseBytes(bytes)
            }
        }
    }

    internal fun remove(record: Execution): Boolean {
        val removed = records.remove(record.identifier, record)
        if (removed) reserved.decrementAndGet()
        return removed
    }

    internal fun reserveBytes(bytes: Int): Boolean {
        if (bytes > limits.answerBytes) return false
        val fits = answerBytes.addAndGet(bytes.toLong()) <= limits.totalAnswerBytes
        if (!fits) releaseBytes(bytes)
        return fits
    }

    internal fun releaseBytes(bytes: Int) {
        answerBytes.addAndGet(-bytes.toLong())
    }

    private fun liveRecord(identifier: RequestIdentifier): Execution? {
        val record = records[identifier] ?: return null
        if (record.result !is ExecutionResult.NotRun) return record
        remove(record)
        return null
    }

    private fun windowFault(identifier: RequestIdentifier, now: MonotonicTime): ExecutionAdmission? =
        when (windows.stateOf(identifier.window, now)) {
            WindowState.ACCEPTED -> null
            WindowState.EXPIRED -> ExecutionAdmission.Unknown(UnknownReason.IDENTIFIER_EXPIRED)
            WindowState.NOT_ISSUED -> ExecutionAdmission.Refused(RefusalReason.MALFORMED)
        }

    private fun reserveRecord(): Boolean {
        if (reserved.incrementAndGet() <= limits.records) return true
        reserved.decrementAndGet()
        return false
    }
}
