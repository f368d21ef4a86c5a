package org.anvilshed.core.seats

import kotlinx.serialization.Serializable
import org.anvilshed.core.VmIdentity

/**
 * Owners of the seats of one scope, as stored in the platform under [SeatScope.key] and changed by conditional update.
 *
 * @property seats number of seats into which the scope is divided.
 * @property members processes that share the scope.
 * @property owners owned seats in ascending order, run-length encoded; a seat in no range is free.
 * @throws IllegalArgumentException if a member occurs twice, or if ranges overlap, leave the scope or name no member.
 */
@Serializable
public data class SeatLedger(
    public val seats: Int,
    public val members: List<SeatMember>,
    public val owners: List<SeatRange>,
) {
    init {
        require(seats > 0) { "a ledger needs at least one seat" }
        val identities = members.mapTo(HashSet()) { it.identity }
        require(identities.size == members.size) { "a member occurs twice" }
        var end = 0
        for (range in owners) {
            require(range.count > 0 && range.first >= end && range.first <= seats - range.count) { "invalid $range" }
            require(range.owner in identities) { "owner of $range is not a member" }
            end = range.first + range.count
        }
    }

    /** Returns the member [identity], or `null` if it is not in the ledger. */
    public fun memberOrNull(identity: VmIdentity): SeatMember? = members.find { it.identity == identity }

    /** Returns the seats that belong to [identity]. */
    public fun seatsOf(identity: VmIdentity): SeatSet = SeatSet.of(
        seats,
        owners.filter { it.owner == identity }.flatMap { it.first until it.first + it.count },
    )

    /** Returns the owner of each seat, `null` for a free one. */
    public fun ownerOfEachSeat(): List<VmIdentity?> {
        val result = arrayOfNulls<VmIdentity>(seats)
        for (range in owners) result.fill(range.owner, range.first, range.first + range.count)
        return result.asList()
    }
}

/** Returns the run-length encoding of [owners], the owner of each seat. */
public fun encodeOwners(owners: List<VmIdentity?>): List<SeatRange> {
    val ranges = mutableListOf<SeatRange>()
    var first = 0
    while (first < owners.size) {
        val owner = owners[first]
        var end = first + 1
        while (end < owners.size && owners[end] == owner) end++
        if (owner != null) ranges += SeatRange(first, end - first, owner)
        first = end
    }
    return ranges
}
