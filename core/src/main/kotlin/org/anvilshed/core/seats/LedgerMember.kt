package org.anvilshed.core.seats

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.anvilshed.core.VmIdentity
import org.anvilshed.core.ZoneName

/**
 * Entry of one process in a [ShareLedger]. Only the process itself changes its entry; other members may only remove it.
 *
 * @property address peer address (IP:port) at which the process accepts connections while it is a member.
 * @property renewal number that increases with each write of the member.
 * @property writeId random number of the member's last write, by which the member recognizes that the write took
 *   effect. Each entry has its own, because the next renewal of another member would overwrite one of the whole ledger.
 * @property monitor member of the same zone that renews this member's peer lease with each heartbeat acknowledgement
 *   and may remove this member once that lease has expired.
 * @property demand weight in the allocation of a region's shares, such as requests per second.
 * @property leaving whether the member is shutting down and gets no further shares.
 * @property isolationMilliseconds how long the member may go on using its shares after the end of its lease.
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
