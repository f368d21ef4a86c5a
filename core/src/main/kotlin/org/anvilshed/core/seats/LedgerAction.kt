package org.anvilshed.core.seats

import org.anvilshed.core.MonotonicTime

/** What the caller of [ShareHolder.next] has to do. */
public sealed interface LedgerAction {
    /** Read the ledger object and report the result with [ShareHolder.readFinished]. */
    public data object Read : LedgerAction

    /**
     * Write [ledger] on condition that the object still has [baseVersion] (0: does not exist), and report the result
     * with [ShareHolder.writeFinished].
     */
    public data class Write(public val baseVersion: Long, public val ledger: ShareLedger, public val writeId: Long) :
        LedgerAction

    /** Do nothing before [until]; observations may be reported in the meantime. */
    public data class Wait(public val until: MonotonicTime) : LedgerAction
}
