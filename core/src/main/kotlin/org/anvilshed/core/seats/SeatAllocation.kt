package org.anvilshed.core.seats

import org.anvilshed.core.VmIdentity

private const val FLOOR_SHARE = 0.5

/**
 * Returns the seats that each member of [members] should own: contiguous blocks of [available] in the order of names.
 *
 * In a zone the shares are equal, and members of other zones get a share only if the zone has no member of its own. In
 * a region half of the seats are divided equally and half by demand, so each member gets at least half an equal share.
 *
 * @param members members that renew their lease and are not leaving.
 * @param available seats to divide; the seats of other members stay where they are.
 */
public fun idealAllocation(
    scope: SeatScope,
    members: Collection<SeatMember>,
    available: SeatSet,
): Map<VmIdentity, SeatSet> {
    val sorted = entitledMembers(scope, members).sortedWith(MEMBER_ORDER)
    val quotas = seatQuotas(sorted.map { shareOf(scope, it, sorted) }, available.count)
    val seats = available.toList()
    var next = 0
    return sorted.indices.associate { index ->
        val block = seats.subList(next, next + quotas[index])
        next += quotas[index]
        sorted[index].identity to SeatSet.of(available.size, block)
    }
}

internal val MEMBER_ORDER: Comparator<SeatMember> =
    compareBy<SeatMember> { it.identity.name }.thenBy { it.identity.incarnation.value }

private fun entitledMembers(scope: SeatScope, members: Collection<SeatMember>): Collection<SeatMember> = when (scope) {
    is SeatScope.OfRegion -> members
    is SeatScope.OfZone -> members.filter { it.zone == scope.zone }.ifEmpty { members }
}

private fun shareOf(scope: SeatScope, member: SeatMember, members: List<SeatMember>): Double {
    val equal = 1.0 / members.size
    val total = members.sumOf { weightOf(it) }
    if (scope is SeatScope.OfZone || total <= 0.0) return equal
    return FLOOR_SHARE * equal + (1 - FLOOR_SHARE) * weightOf(member) / total
}

private fun weightOf(member: SeatMember): Double = member.demand.takeIf { it.isFinite() && it > 0 } ?: 0.0

/** Divides [count] seats by [shares] with the largest-remainder method; equal remainders favour the first member. */
private fun seatQuotas(shares: List<Double>, count: Int): IntArray {
    val quotas = IntArray(shares.size) { (shares[it] * count).toInt() }
    val byRemainder = shares.indices.sortedByDescending { shares[it] * count - quotas[it] }
    val rest = count - quotas.sum()
    repeat(if (shares.isEmpty()) 0 else rest) { quotas[byRemainder[it % byRemainder.size]]++ }
    return quotas
}
