package org.anvilshed.core.lookup

import org.anvilshed.core.RegionName
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CopyOnWriteArrayList

/**
 * Finds the preferred region of a caller by the longest client block that contains the caller's address.
 *
 * Lookups may run on any thread, also while blocks are changed by [put] and [remove]. The table supports at most 32,767
 * different regions.
 *
 * ```
 * val table = ClientBlockTable(mapOf(parseIpPrefixOrNull("10.1.0.0/16")!! to RegionName("nbo")))
 * table.findOrNull(parseIpAddressOrNull("10.1.2.3")!!) // nbo
 * ```
 */
public class ClientBlockTable(blocks: Map<IpPrefix, RegionName>) {
    private val regions = CopyOnWriteArrayList<RegionName>()
    private val regionIndexes = ConcurrentHashMap<RegionName, Short>()
    private val tables =
        AddressFamily.entries.map { family ->
            PrefixTable(
                blocks.entries
                    .filter { it.key.family == family }
                    .map { (prefix, region) -> prefix.toEntry(indexOf(region)) },
            )
        }

    /** Returns the region of the longest block that contains [address], or `null` if no block does. */
    public fun findOrNull(address: IpAddress): RegionName? {
        val index = tables[address.family.ordinal].find(address.key)
        return if (index == PrefixTable.NO_VALUE) null else regions[index]
    }

    /** Sets the preferred region of [block] to [region]; other blocks are not changed. */
    public fun put(block: IpPrefix, region: RegionName) {
        tables[block.family.ordinal].put(block.toEntry(indexOf(region)))
    }

    /** Removes [block]; its addresses then belong to the next shorter block that contains them. */
    public fun remove(block: IpPrefix) {
        tables[block.family.ordinal].remove(block.toEntry(0))
    }

    private fun indexOf(region: RegionName): Short = regionIndexes.computeIfAbsent(region) {
        synchronized(regions) {
            check(regions.size < Short.MAX_VALUE) { "more than ${Short.MAX_VALUE} regions" }
            regions.add(it)
            (regions.size - 1).toShort()
        }
    }

    private fun IpPrefix.toEntry(value: Short): PrefixEntry = PrefixEntry(key, length, value)
}
