package org.anvilshed.daemon.control

import org.anvilshed.core.RegionName
import org.anvilshed.core.bundle.ClientBlock
import org.anvilshed.core.lookup.ClientBlockTable
import org.anvilshed.core.lookup.IpPrefix
import org.anvilshed.core.lookup.parseIpPrefixOrNull

/** Keeps one table of client blocks up to date by applying the differences between bundles. */
internal class ClientBlocks {
    private var applied: Map<IpPrefix, RegionName> = emptyMap()

    /** Table for the request path; the same object for the life of the process. */
    val table = ClientBlockTable(emptyMap())

    fun apply(blocks: List<ClientBlock>) {
        val wanted = HashMap<IpPrefix, RegionName>()
        // IPv6 blocks longer than 64 bits are not told apart by the table, so that they are left out.
        for (block in blocks) parseIpPrefixOrNull(block.block)?.let { wanted[it] = block.region }
        for (prefix in applied.keys - wanted.keys) table.remove(prefix)
        for ((prefix, region) in wanted) if (applied[prefix] != region) table.put(prefix, region)
        applied = wanted
    }
}
