package org.anvilshed.core.seats

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.anvilshed.core.VmIdentity
import org.anvilshed.core.ZoneName

/**
 * Entry of one process in a [ShareLedger]. Only the process itself changes it; others may only remove it.
 *
 * @property address peer address (IP:port) at which the process accepts connections while it is a member.
 * @property renewal number that rises with each write of the member.
 * @property writeId random number of the member's last write, by which the member recognizes that it took effect. It is
 *   kept per member, since a single one for the whole ledger is overwritten by the next member's renewal.
 * @property monitor member of the same zone that may remove this member as soon as it gives no more promises.
 * @property demand weight in the allocation of a region's shares, for example requests per second.
 * @property leaving whether the member is shutting down and is to get no further shares.
 * @property isolationMilliseconds how long after the end of its lease the member may go on using its shares.
 * @property deadlineMilliseconds largest remaining deadline with which the member sends work to targets.
 */
@Serializable
public data class LedgerMember(
    public val identity: VmIdentity,
    public val zone: ZoneName,
    public val address: String,
    public val renewal: Long,
    public val writeId: Long,
    @SerialName("guardian") public val monitor: VmIdentity? = null,
    public val demand: Double = 0.0,
    public val leaving: Boolean = false,
    public val isolationMilliseconds: Long = 0,
    public val deadlineMilliseconds: Long = 0,
)
