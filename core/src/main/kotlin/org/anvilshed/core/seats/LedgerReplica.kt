package org.anvilshed.core.seats

import org.anvilshed.core.MonotonicTime
import org.anvilshed.core.VmIdentity

/**
 * A conditional update whose effect is not known yet.
 *
 * @property removed members that the update removes.
 * @property takenOver shares of [removed], which go to this process.
 * @property leaves whether the update removes this process itself.
 */
internal class PendingWrite(
    val action: LedgerAction.Write,
    val firstSentAt: MonotonicTime,
    val removed: List<LedgerMember>,
    val takenOver: ShareSet,
    val leaves: Boolean,
) {
    var sends = 1
}

/**
 * Newest known state of a ledger object, and at most one own update that may or may not have taken effect.
 *
 * An update stays pending until its response arrives or a newer version is read. It is never replaced by an update with
 * other contents on the same version, so all possible states of the own shares are the known one and the pending one.
 */
internal class LedgerReplica(private val self: VmIdentity) {
    var version = 0L
        private set
    var ledger: ShareLedger? = null
        private set
    var pending: PendingWrite? = null
        private set

    /** Returns the entries of this process in all states that the object may have, `null` where it has no entry. */
    fun possibleEntries(): List<LedgerMember?> =
        listOfNotNull(ledger, pending?.action?.ledger).map { it.memberOrNull(self) }.ifEmpty { listOf(null) }

    /** Returns the shares that this process owns in all states that the object may have. */
    fun certainShares(): ShareSet {
        val known = ledger?.sharesOf(self) ?: return ShareSet.none(0)
        return pending?.let { known intersect it.action.ledger.sharesOf(self) } ?: known
    }

    fun begin(write: PendingWrite) {
        check(pending == null) { "the effect of the previous update is not known yet" }
        pending = write
    }

    /** Returns the pending update if [result] shows that it took effect. */
    fun writeFinished(writeId: Long, result: LedgerWriteResult): PendingWrite? {
        val write = pending?.takeIf { it.action.writeId == writeId } ?: return null
        when (result) {
            is LedgerWriteResult.Applied -> {
                pending = null
                version = result.version
                ledger = write.action.ledger
                return write
            }
            // An earlier transmission of the same update may have taken effect, unless there was none.
            LedgerWriteResult.Rejected -> if (write.sends == 1) pending = null
            LedgerWriteResult.Conflict, LedgerWriteResult.Unknown -> Unit
        }
        return null
    }

    /** Takes over a state that was read unless it is older than the known one; returns a pending update it contains. */
    fun readFinished(result: LedgerReadResult.Found): PendingWrite? {
        if (result.version <= version) return null
        val write = pending
        pending = null
        version = result.version
        ledger = result.ledger
        val entry = result.ledger.memberOrNull(self)
        return write?.takeIf { if (it.leaves) entry == null else entry?.writeId == it.action.writeId }
    }
}
