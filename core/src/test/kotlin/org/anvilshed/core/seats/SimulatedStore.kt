package org.anvilshed.core.seats

/** The platform's object as section 7 describes it, with all of its history for stale reads. */
internal class SimulatedStore {
    private val history = mutableListOf<ShareLedger>()

    val ledgerOrNull: ShareLedger? get() = history.lastOrNull()

    fun read(staleness: Int): LedgerReadResult {
        val version = history.size - staleness
        return if (version <
            1
        ) {
            LedgerReadResult.Absent
        } else {
            LedgerReadResult.Found(version.toLong(), history[version - 1])
        }
    }

    fun write(write: LedgerAction.Write): LedgerWriteResult {
        if (write.baseVersion != history.size.toLong()) return LedgerWriteResult.Conflict
        history += write.ledger
        return LedgerWriteResult.Applied(history.size.toLong())
    }
}
