package org.anvilshed.core.seats

import org.anvilshed.core.VmIdentity

/** Part of the shares of a region that is divided equally; the rest is divided by demand. */
private const val EQUAL_PART = 0.5

/**
 * Returns the shares that each member of [members] should own: contiguous blocks of [available] in the order of names.
 *
 * In a zone all members of the zone get equal numbers of shares, and members of other zones get shares only if the zone
 * has no member of its own. In a region half of the shares are divided equally and half by demand, so that each member
 * gets at least half of what an equal division would give it.
 *
 * @param members members that renew their lease and are not leaving.
 * @param available shares to divide; all other shares stay with their owners.
 */
public fun idealAllocation(
    scope: ShareScope,
    members: Collection<LedgerMember>,
    available: ShareSet,
): Map<VmIdentity, ShareSet> {
    val sorted = entitledMembers(scope, members).sortedWith(MEMBER_ORDER)
    val quotas = shareQuotas(sorted.map { fractionOf(scope, it, sorted) }, available.count)
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

private fun fractionOf(scope: ShareScope, member: LedgerMember, members: List<LedgerMember>): Double {
    val equal = 1.0 / members.size
    val total = members.sumOf { weightOf(it) }
    if (scope is ShareScope.OfZone || total <= 0.0) return equal
    return EQUAL_PART * equal + (1 - EQUAL_PART) * weightOf(member) / total
}

private fun weightOf(member: LedgerMember): Double = member.demand.takeIf { it.isFinite() && it > 0 } ?: 0.0

/**
 * Divides [count] shares in proportion to [fractions] by the largest-remainder method; among equal remainders the first
 * member is preferred.
 */
private fun shareQuotas(fractions: List<Double>, count: Int): IntArray {
    val quotas = IntArray(fractions.size) { (fractions[it] * count).toInt() }
    val byRemainder = fractions.indices.sortedByDescending { fractions[it] * count - quotas[it] }
    val rest = count - quotas.sum()
    repeat(if (fractions.isEmpty()) 0 else rest) { quotas[byRemainder[it % byRemainder.size]]++ }
    return quotas
}
