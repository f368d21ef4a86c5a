package org.anvilshed.core.execution

import org.anvilshed.core.MonotonicTime
import org.anvilshed.core.RefusalReason
import org.anvilshed.core.UnknownReason
import org.anvilshed.core.VmIdentity
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong

/**
 * Table of the non-idempotent requests that one process owns. It ensures that no request runs twice.
 *
 * A request is first passed to [admit], before any other check, so that a duplicate of a request that ran is never
 * refused as not run. Then follows [Execution.refuse], or [Execution.dispatch] and one of [Execution.complete],
 * [Execution.endUnknown] and [Execution.returnNotRun]. This class is thread-safe; no lock spans several records.
 *
 * @property owner process that owns this table.
 * @property windows windows in which [owner] issues identifiers; they decide how long records are kept.
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

    /** Total size in bytes of all recorded answers. */
    public val recordedBytes: Long
        get() = answerBytes.get()

    /**
     * Admits the request on its first arrival, or returns the record of an earlier arrival.
     *
     * @param readClock returns a fresh reading of the owner's clock. It is called again after the record is stored: a
     *   thread that was paused before for so long that the record of an earlier arrival expired must not run the
     *   request again.
     */
    public fun admit(identifier: RequestIdentifier, readClock: () -> MonotonicTime): ExecutionAdmission {
        if (identifier.owner.name != owner.name) return ExecutionAdmission.OwnedElsewhere(identifier.owner)
        if (identifier.owner != owner) return ExecutionAdmission.Unknown(UnknownReason.OWNER_REPLACED)
        while (true) {
            liveRecord(identifier)?.let { return ExecutionAdmission.Duplicate(it) }
            windowFault(identifier, readClock())?.let { return it }
            if (!reserveRecord()) {
                // An earlier arrival of the same request may have taken the last record since the first lookup.
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

    /** Removes the records whose window is no longer kept at [now]; to be called at least once per window. */
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
