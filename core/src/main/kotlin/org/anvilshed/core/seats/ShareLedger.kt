package org.anvilshed.core.seats

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.anvilshed.core.VmIdentity

/**
 * Owners of the shares of one scope. A share is one of the equal parts into which the limits of the scope are divided;
 * members own shares under a lease. The ledger is stored in the platform under [ShareScope.key] and changed by
 * conditional update.
 *
 * @property shares number of shares into which the scope is divided.
 * @property members processes among which the shares of the scope are divided.
 * @property owners ranges of owned shares in ascending order; a share in no range is free.
 * @throws IllegalArgumentException if [shares] is not positive, a member occurs twice, or a range is empty, overlaps
 *   another one, exceeds the scope or has an owner that is not a member.
 */
@Serializable
public data class ShareLedger(
    @SerialName("seats") public val shares: Int,
    public val members: List<LedgerMember>,
    public val owners: List<ShareRange>,
) {
    init {
        require(shares > 0) { "the number of shares of a ledger must be positive, found $shares" }
        val identities = members.mapTo(HashSet()) { it.identity }
        require(identities.size == members.size) { "a member occurs twice in the ledger" }
        var end = 0
        for (range in owners) {
            require(range.count > 0 && range.first >= end && range.first <= shares - range.count) {
                "range of ${range.count} shares from ${range.first} is empty, out of order or beyond $shares shares"
            }
            require(range.owner in identities) {
                "owner ${range.owner} of the range of shares from ${range.first} is not a member"
            }
            end = range.first + range.count
        }
    }

    /** Returns the member [identity], or `null` if it is not in the ledger. */
    public fun memberOrNull(identity: VmIdentity): LedgerMember? = members.find { it.identity == identity }

    /** Returns the shares that belong to [identity]. */
    public fun sharesOf(identity: VmIdentity): ShareSet = ShareSet.of(
        shares,
        owners.filter { it.owner == identity }.flatMap { it.first until it.first + it.count },
    )

    /** Returns the owner of each share in ascending order, `null` for a free share. */
    public fun ownerOfEachShare(): List<VmIdentity?> {
        val result = arrayOfNulls<VmIdentity>(shares)
        for (range in owners) result.fill(range.owner, range.first, range.first + range.count)
        return result.asList()
    }
}

/** Returns the ranges of consecutive shares with the same owner; [owners] holds the owner of each share. */
public fun encodeOwners(owners: List<VmIdentity?>): List<ShareRange> {
    val ranges = mutableListOf<ShareRange>()
    var first = 0
    while (first < owners.size) {
        val owner = owners[first]
        var end = first + 1
        while (end < owners.size && owners[end] == owner) end++
        if (owner != null) ranges += ShareRange(first, end - first, owner)
        first = end
    }
    return ranges
}
