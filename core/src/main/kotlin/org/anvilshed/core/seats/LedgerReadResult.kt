package org.anvilshed.core.seats

/** Result of reading the ledger object. */
public sealed interface LedgerReadResult {
    /** The object exists; [version] is its version in the platform, at least 1. */
    public data class Found(public val version: Long, public val ledger: ShareLedger) : LedgerReadResult

    /** The object does not exist. */
    public data object Absent : LedgerReadResult

    /** No response, or a response that cannot be interpreted. */
    public data object Failed : LedgerReadResult
}
