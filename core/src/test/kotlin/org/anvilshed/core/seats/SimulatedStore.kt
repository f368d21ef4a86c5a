package org.anvilshed.core.seats

/** Ledger object in the platform with conditional writes; it keeps all versions so that reads can be stale. */
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
