package org.anvilshed.core.seats

import org.anvilshed.core.VmIdentity

/**
 * What one member knows when it writes the ledger.
 *
 * @property self new entry of the member, or `null` if it leaves the ledger.
 * @property ledger newest known state.
 * @property live members that may still be renewing; [identity] is one of them.
 * @property removable members that may be removed by the rules of removal.
 * @property released own shares that are out of use and may be given away.
 * @property shares number of shares that the bundle asks for.
 */
internal class LedgerUpdateContext(
    val scope: ShareScope,
    val identity: VmIdentity,
    val self: LedgerMember?,
    val ledger: ShareLedger,
    val live: Set<VmIdentity>,
    val removable: Set<VmIdentity>,
    val released: ShareSet,
    val shares: Int,
)
