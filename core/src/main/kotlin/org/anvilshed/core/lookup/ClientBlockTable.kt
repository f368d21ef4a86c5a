package org.anvilshed.core.lookup

import org.anvilshed.core.RegionName
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CopyOnWriteArrayList

/**
 * Preferred region of callers by the longest client block that contains their address.
 *
 * Lookups may run on any thread while blocks change; see [put] and [remove]. At most 32,767 regions are told apart.
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

    /** Gives [block] the preferred region [region]; other blocks are neither changed nor copied. */
    public fun put(block: IpPrefix, region: RegionName) {
        tables[block.family.ordinal].put(block.toEntry(indexOf(region)))
    }

    /** Removes [block]; its addresses fall back to the next shorter block that contains them. */
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
