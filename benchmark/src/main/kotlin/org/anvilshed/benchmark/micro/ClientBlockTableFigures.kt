package org.anvilshed.benchmark.micro

import org.anvilshed.core.RegionName
import org.anvilshed.core.lookup.AddressFamily
import org.anvilshed.core.lookup.ClientBlockTable
import org.anvilshed.core.lookup.IpAddress
import org.anvilshed.core.lookup.IpPrefix
import kotlin.random.Random

private const val REGIONS = 720
private const val LOOKUPS = 4_000_000
private const val CHANGES = 20_000
private const val KEY_BITS = 64

/**
 * Measured size and speed of a [ClientBlockTable].
 *
 * @property blocks number of client blocks.
 * @property tableBytes heap in use by the table after a full garbage collection, in bytes.
 * @property lookupNanoseconds mean time of a lookup of a random address on one thread.
 * @property changeMicroseconds mean time of a change of one block.
 */
internal data class ClientBlockTableFigures(
    val blocks: Int,
    val tableBytes: Long,
    val lookupNanoseconds: Double,
    val changeMicroseconds: Double,
)

/** Measures a [ClientBlockTable] of [blocks] random IPv4 prefixes of 12 to 28 bits, spread over [REGIONS] regions. */
internal fun measureClientBlockTable(blocks: Int, seed: Long): ClientBlockTableFigures {
    val random = Random(seed)
    val regions = List(REGIONS) { RegionName("site-$it") }
    val before = usedHeapAfterCollection()
    val table = buildTable(blocks, regions, random)
    val tableBytes = usedHeapAfterCollection() - before
    val addresses = LongArray(1 shl 16) { random.nextInt().toLong() shl 32 }
    timeLookups(table, addresses)
    val lookupNanoseconds = timeLookups(table, addresses)
    timeChanges(table, regions, random)
    return ClientBlockTableFigures(blocks, tableBytes, lookupNanoseconds, timeChanges(table, regions, random))
}

private fun buildTable(blocks: Int, regions: List<RegionName>, random: Random): ClientBlockTable {
    val entries = HashMap<IpPrefix, RegionName>(blocks * 2)
    while (entries.size < blocks) entries[randomBlock(random)] = regions.random(random)
    return ClientBlockTable(entries)
}

private fun randomBlock(random: Random): IpPrefix {
    // Real tables hold mostly long prefixes; here one in a hundred is shorter than 16 bits.
    val length = if (random.nextInt(100) == 0) random.nextInt(12, 16) else random.nextInt(16, 29)
    return IpPrefix(AddressFamily.IPV4, (random.nextInt().toLong() shl 32) and (-1L shl (KEY_BITS - length)), length)
}

private fun timeLookups(table: ClientBlockTable, addresses: LongArray): Double {
    var found = 0
    val start = System.nanoTime()
    for (index in 0 until LOOKUPS) {
        if (table.findOrNull(IpAddress(AddressFamily.IPV4, addresses[index and 0xFFFF])) != null) found++
    }
    val elapsed = System.nanoTime() - start
    // Uses the results, so that the compiler cannot drop the lookups.
    check(found >= 0)
    return elapsed.toDouble() / LOOKUPS
}

private fun timeChanges(table: ClientBlockTable, regions: List<RegionName>, random: Random): Double {
    val changes = List(CHANGES) { randomBlock(random) to regions.random(random) }
    val start = System.nanoTime()
    changes.forEach { (block, region) -> table.put(block, region) }
    return (System.nanoTime() - start) / 1e3 / CHANGES
}
