package org.anvilshed.core.seats

import org.anvilshed.core.VmIdentity

/**
 * Returns the ledger that a member writes next.
 *
 * The member takes over the shares of the members that it removes and must not use them before their quarantine has
 * ended. It hands over its released shares to their ideal owners and acquires the free shares whose ideal owner it is.
 */
internal fun updatedLedger(context: LedgerUpdateContext): ShareLedger {
    val ledger = context.ledger.refinedTo(context.shares)
    val others = ledger.members.filter { it.identity != context.identity && it.identity !in context.removable }
    val members = (others + listOfNotNull(context.self)).sortedWith(MEMBER_ORDER)
    val owners = ledger.ownerOfEachShare().map { if (it in context.removable) context.identity else it }.toMutableList()
    val ideal = idealOwners(context.scope, members, owners, context.live)
    val released = context.released.scaledTo(ledger.shares)
    for (share in owners.indices) {
        when (owners[share]) {
            context.identity -> if (context.self == null || share in released) owners[share] = ideal[share]
            null -> if (ideal[share] == context.identity) owners[share] = context.identity
        }
    }
    val remaining = if (context.isDispensable(others, owners)) others else members
    return ShareLedger(ledger.shares, remaining, encodeOwners(owners))
}

/** Returns the ideal owner of each share. Members that are not live or are leaving keep their shares. */
internal fun idealOwners(
    scope: ShareScope,
    members: List<LedgerMember>,
    owners: List<VmIdentity?>,
    live: Set<VmIdentity>,
): List<VmIdentity?> {
    val (receivers, others) = members.partition { it.identity in live && !it.leaving }
    val pinned = others.mapTo(HashSet()) { it.identity }
    val available = ShareSet.of(owners.size, owners.indices.filter { owners[it] !in pinned })
    val result = owners.toMutableList()
    for ((identity, shares) in idealAllocation(scope, receivers, available)) {
        for (share in shares.toList()) result[share] = identity
    }
    // Shares of a process that leaves the ledger become free if no member can receive them.
    val identities = members.mapTo(HashSet()) { it.identity }
    return result.map { owner -> owner.takeIf { it in identities } }
}

/** Returns whether the writing member owns nothing and is of another zone than the scope, which has a live member. */
private fun LedgerUpdateContext.isDispensable(others: List<LedgerMember>, owners: List<VmIdentity?>): Boolean =
    scope is ShareScope.OfZone &&
        self?.zone != scope.zone &&
        identity !in owners &&
        others.any { it.zone == scope.zone && it.identity in live && !it.leaving }

private fun ShareLedger.refinedTo(newShares: Int): ShareLedger {
    if (newShares <= shares || newShares % shares != 0) return this
    val factor = newShares / shares
    return copy(shares = newShares, owners = owners.map { ShareRange(it.first * factor, it.count * factor, it.owner) })
}
