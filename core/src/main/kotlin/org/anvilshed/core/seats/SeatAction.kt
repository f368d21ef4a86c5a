package org.anvilshed.core.seats

import org.anvilshed.core.MonotonicTime

/** What the caller of [SeatHolder.next] has to do. */
public sealed interface SeatAction {
    /** Read the ledger object and report the result with [SeatHolder.readFinished]. */
    public data object Read : SeatAction

    /**
     * Write [ledger] on condition that the object still has [baseVersion] (0: does not exist), and report the result
     * with [SeatHolder.writeFinished].
     */
    public data class Write(public val baseVersion: Long, public val ledger: SeatLedger, public val writeId: Long) :
        SeatAction

    /** Do nothing before [until]; observations may be reported in the meantime. */
    public data class Wait(public val until: MonotonicTime) : SeatAction
}
