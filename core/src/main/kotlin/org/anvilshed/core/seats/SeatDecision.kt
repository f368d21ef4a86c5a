package org.anvilshed.core.seats

import org.anvilshed.core.VmIdentity

/**
 * Returns the ledger that a member writes next.
 *
 * Seats of removed members go to the member itself, which must not use them before their hold has ended. Released seats
 * go to their ideal owners, and free seats are acquired by their ideal owner.
 */
internal fun decideSeats(view: SeatView): SeatLedger {
    val ledger = view.ledger.refinedTo(view.seats)
    val others = ledger.members.filter { it.identity != view.identity && it.identity !in view.removable }
    val members = (others + listOfNotNull(view.self)).sortedWith(MEMBER_ORDER)
    val owners = ledger.ownerOfEachSeat().map { if (it in view.removable) view.identity else it }.toMutableList()
    val ideal = idealOwners(view.scope, members, owners, view.live)
    val released = view.released.scaledTo(ledger.seats)
    for (seat in owners.indices) {
        when (owners[seat]) {
            view.identity -> if (view.self == null || seat in released) owners[seat] = ideal[seat]
            null -> if (ideal[seat] == view.identity) owners[seat] = view.identity
        }
    }
    val remaining = if (view.isDispensable(others, owners)) others else members
    return SeatLedger(ledger.seats, remaining, encodeOwners(owners))
}

/** Returns the ideal owner of each seat; seats of members that cannot give them away stay where they are. */
internal fun idealOwners(
    scope: SeatScope,
    members: List<SeatMember>,
    owners: List<VmIdentity?>,
    live: Set<VmIdentity>,
): List<VmIdentity?> {
    val (receivers, others) = members.partition { it.identity in live && !it.leaving }
    val pinned = others.mapTo(HashSet()) { it.identity }
    val available = SeatSet.of(owners.size, owners.indices.filter { owners[it] !in pinned })
    val result = owners.toMutableList()
    for ((identity, seats) in idealAllocation(scope, receivers, available)) {
        for (seat in seats.toList()) result[seat] = identity
    }
    // Without a receiver the seats of a process that leaves become free.
    val identities = members.mapTo(HashSet()) { it.identity }
    return result.map { owner -> owner.takeIf { it in identities } }
}

/** Returns whether the member is of another zone, owns nothing and is no longer needed. */
private fun SeatView.isDispensable(others: List<SeatMember>, owners: List<VmIdentity?>): Boolean =
    scope is SeatScope.OfZone &&
        self?.zone != scope.zone &&
        identity !in owners &&
        others.any { it.zone == scope.zone && it.identity in live && !it.leaving }

private fun SeatLedger.refinedTo(newSeats: Int): SeatLedger {
    if (newSeats <= seats || newSeats % seats != 0) return this
    val factor = newSeats / seats
    return copy(seats = newSeats, owners = owners.map { SeatRange(it.first * factor, it.count * factor, it.owner) })
}
