package org.anvilshed.core.seats

import org.anvilshed.core.VmIdentity

/**
 * Returns the ledger that a member writes next.
 *
 * Shares of removed members go to the member itself, which must not use them before their hold has ended. Released shares
 * go to their ideal owners, and free shares are acquired by their ideal owner.
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

/** Returns the ideal owner of each share; shares of members that cannot give them away stay where they are. */
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
    // Without a receiver the shares of a process that leaves become free.
    val identities = members.mapTo(HashSet()) { it.identity }
    return result.map { owner -> owner.takeIf { it in identities } }
}

/** Returns whether the member is of another zone, owns nothing and is no longer needed. */
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
