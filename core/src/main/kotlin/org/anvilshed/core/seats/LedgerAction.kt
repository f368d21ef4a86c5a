package org.anvilshed.core.seats

import org.anvilshed.core.MonotonicTime

/** Action that the caller of [ShareHolder.next] has to carry out. */
public sealed interface LedgerAction {
    /** Read the ledger object and report the result with [ShareHolder.readFinished]. */
    public data object Read : LedgerAction

    /**
     * Write [ledger] on condition that the object still has version [baseVersion], and report the result with
     * [ShareHolder.writeFinished].
     *
     * @property baseVersion version that the write replaces; 0 if the object must not exist yet.
     * @property writeId identifies this update when its result is reported.
     */
    public data class Write(public val baseVersion: Long, public val ledger: ShareLedger, public val writeId: Long) :
        LedgerAction

    /** Do nothing before [until]; observations may be reported in the meantime. */
    public data class Wait(public val until: MonotonicTime) : LedgerAction
}
