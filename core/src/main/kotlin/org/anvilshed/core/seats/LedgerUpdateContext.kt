package org.anvilshed.core.seats

import org.anvilshed.core.VmIdentity

/**
 * Input of [updatedLedger]: what one member knows when it writes the ledger.
 *
 * @property self new entry of the member, or `null` if it leaves the ledger.
 * @property ledger newest known state of the ledger.
 * @property live members that may still be renewing their lease; includes [identity].
 * @property removable members that this member may remove.
 * @property released shares of this member that it no longer uses and may hand over.
 * @property shares number of shares that the bundle specifies.
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
