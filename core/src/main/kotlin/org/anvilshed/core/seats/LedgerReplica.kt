package org.anvilshed.core.seats

import org.anvilshed.core.MonotonicTime
import org.anvilshed.core.VmIdentity

/**
 * Conditional update whose effect is not known yet.
 *
 * @property firstSentAt time of the first transmission; a lease that the update grants counts from it.
 * @property removed other members that the update removes.
 * @property takenOver shares of [removed], which the update assigns to this process.
 * @property removesSelf whether the update removes this process from the ledger.
 */
internal class PendingWrite(
    val action: LedgerAction.Write,
    val firstSentAt: MonotonicTime,
    val removed: List<LedgerMember>,
    val takenOver: ShareSet,
    val removesSelf: Boolean,
) {
    var transmissions = 1
}

/**
 * Newest known state of a ledger object, and at most one update of this process that may or may not have taken effect.
 *
 * An update stays pending until its response arrives or a newer version is read. No update with other contents is sent
 * on the same version, so the shares of this process are those of the known state or those of the pending update.
 */
internal class LedgerReplica(private val self: VmIdentity) {
    var version = 0L
        private set
    var ledger: ShareLedger? = null
        private set
    var pending: PendingWrite? = null
        private set

    /** Returns the entry of this process in each state that the object may have, `null` where it has no entry. */
    fun possibleEntries(): List<LedgerMember?> =
        listOfNotNull(ledger, pending?.action?.ledger).map { it.memberOrNull(self) }.ifEmpty { listOf(null) }

    /** Returns the shares that this process owns in every state that the object may have. */
    fun certainlyOwnedShares(): ShareSet {
        val known = ledger?.sharesOf(self) ?: return ShareSet.none(0)
        return pending?.let { known intersect it.action.ledger.sharesOf(self) } ?: known
    }

    fun begin(write: PendingWrite) {
        check(pending == null) { "no further update can begin: the effect of the previous update is not known yet" }
        pending = write
    }

    /** Handles the result of the update [writeId]; returns the update if [result] shows that it took effect. */
    fun writeFinished(writeId: Long, result: LedgerWriteResult): PendingWrite? {
        val write = pending?.takeIf { it.action.writeId == writeId } ?: return null
        when (result) {
            is LedgerWriteResult.Applied -> {
                pending = null
                version = result.version
                ledger = write.action.ledger
                return write
            }
            // The rejection of a retransmission says nothing about the transmissions before it.
            LedgerWriteResult.Rejected -> if (write.transmissions == 1) pending = null
            LedgerWriteResult.Conflict, LedgerWriteResult.Unknown -> Unit
        }
        return null
    }

    /**
     * Replaces the known state by one that was read, unless that is not newer. Returns the pending update if the state
     * that was read contains it.
     */
    fun readFinished(result: LedgerReadResult.Found): PendingWrite? {
        if (result.version <= version) return null
        val write = pending
        pending = null
        version = result.version
        ledger = result.ledger
        val entry = result.ledger.memberOrNull(self)
        return write?.takeIf { if (it.removesSelf) entry == null else entry?.writeId == it.action.writeId }
    }
}
