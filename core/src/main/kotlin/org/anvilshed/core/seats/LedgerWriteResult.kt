package org.anvilshed.core.seats

/** Result of a conditional update of the ledger object. */
public sealed interface LedgerWriteResult {
    /** The update took effect and created [version]. */
    public data class Applied(public val version: Long) : LedgerWriteResult

    /**
     * This transmission had no effect because the object had another version. An earlier transmission of the same
     * update may have created that version.
     */
    public data object Conflict : LedgerWriteResult

    /** The update certainly did not and will not take effect: nothing was sent, or the platform refused it. */
    public data object Rejected : LedgerWriteResult

    /** The response was lost; the update may have taken effect or may still do so. */
    public data object Unknown : LedgerWriteResult
}
