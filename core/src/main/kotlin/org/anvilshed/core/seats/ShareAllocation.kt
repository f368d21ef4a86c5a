package org.anvilshed.core.seats

import org.anvilshed.core.VmIdentity

private const val FLOOR_SHARE = 0.5

/**
 * Returns the shares that each member of [members] should own: contiguous blocks of [available] in the order of names.
 *
 * In a zone the shares are equal, and members of other zones get a share only if the zone has no member of its own. In
 * a region half of the shares are divided equally and half by demand, so each member gets at least half an equal share.
 *
 * @param members members that renew their lease and are not leaving.
 * @param available shares to divide; the shares of other members stay where they are.
 */
public fun idealAllocation(
    scope: ShareScope,
    members: Collection<LedgerMember>,
    available: ShareSet,
): Map<VmIdentity, ShareSet> {
    val sorted = entitledMembers(scope, members).sortedWith(MEMBER_ORDER)
    val quotas = shareQuotas(sorted.map { shareOf(scope, it, sorted) }, available.count)
    val shares = available.toList()
    var next = 0
    return sorted.indices.associate { index ->
        val block = shares.subList(next, next + quotas[index])
        next += quotas[index]
        sorted[index].identity to ShareSet.of(available.size, block)
    }
}

internal val MEMBER_ORDER: Comparator<LedgerMember> =
    compareBy<LedgerMember> { it.identity.name }.thenBy { it.identity.incarnation.value }

private fun entitledMembers(scope: ShareScope, members: Collection<LedgerMember>): Collection<LedgerMember> =
    when (scope) {
        is ShareScope.OfRegion -> members
        is ShareScope.OfZone -> members.filter { it.zone == scope.zone }.ifEmpty { members }
    }

private fun shareOf(scope: ShareScope, member: LedgerMember, members: List<LedgerMember>): Double {
    val equal = 1.0 / members.size
    val total = members.sumOf { weightOf(it) }
    if (scope is ShareScope.OfZone || total <= 0.0) return equal
    return FLOOR_SHARE * equal + (1 - FLOOR_SHARE) * weightOf(member) / total
}

private fun weightOf(member: LedgerMember): Double = member.demand.takeIf { it.isFinite() && it > 0 } ?: 0.0

/** Divides [count] shares by [shares] with the largest-remainder method; equal remainders favour the first member. */
private fun shareQuotas(shares: List<Double>, count: Int): IntArray {
    val quotas = IntArray(shares.size) { (shares[it] * count).toInt() }
    val byRemainder = shares.indices.sortedByDescending { shares[it] * count - quotas[it] }
    val rest = count - quotas.sum()
    repeat(if (shares.isEmpty()) 0 else rest) { quotas[byRemainder[it % byRemainder.size]]++ }
    return quotas
}
