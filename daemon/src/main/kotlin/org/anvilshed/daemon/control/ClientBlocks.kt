package org.anvilshed.daemon.control

import org.anvilshed.core.RegionName
import org.anvilshed.core.bundle.ClientBlock
import org.anvilshed.core.lookup.ClientBlockTable
import org.anvilshed.core.lookup.IpPrefix
import org.anvilshed.core.lookup.parseIpPrefixOrNull

/** Keeps one table of client blocks up to date by applying only the differences between successive bundles. */
internal class ClientBlocks {
    private var applied: Map<IpPrefix, RegionName> = emptyMap()

    /** Table for the request path; the same object as long as the process runs. */
    val table = ClientBlockTable(emptyMap())

    /** Changes [table] to [blocks]. */
    fun apply(blocks: List<ClientBlock>) {
        val wanted = HashMap<IpPrefix, RegionName>()
        // The table does not distinguish IPv6 blocks with prefixes longer than 64 bits, so they are left out.
        for (block in blocks) parseIpPrefixOrNull(block.block)?.let { wanted[it] = block.region }
        for (prefix in applied.keys - wanted.keys) table.remove(prefix)
        for ((prefix, region) in wanted) if (applied[prefix] != region) table.put(prefix, region)
        applied = wanted
    }
}
