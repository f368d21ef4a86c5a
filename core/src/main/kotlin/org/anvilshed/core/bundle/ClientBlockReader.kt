package org.anvilshed.core.bundle

import org.anvilshed.core.RegionName
import org.anvilshed.core.VmName
import org.anvilshed.core.parseIncarnationOrNull

/** Reads the `client_blocks` tables. */
internal fun readClientBlocks(sections: List<DocumentSection>, topology: Topology): List<ClientBlock> {
    val known = mutableSetOf<String>()
    return sections.mapNotNull { section ->
        val block = section.converted(
            "block",
            "a block such as 10.1.0.0/16 with no bit set after the prefix",
            convert = ::parseBlockOrNull,
        )
        val region = section.reference("region", topology.regionNames, ::RegionName)
        section.reportUnknownKeys()
        if (block != null && !known.add(block)) section.report("block", "$block is declared more than once")
        if (block == null || region == null) null else ClientBlock(block, region)
    }
}

/** Reads the `retired` tables. */
internal fun readRetired(sections: List<DocumentSection>): List<RetiredVm> {
    val known = mutableSetOf<RetiredVm>()
    return sections.mapNotNull { section ->
        val vm = section.name("vm", ::VmName)
        val incarnation =
            section.converted("incarnation", "16 hexadecimal digits", convert = ::parseIncarnationOrNull)
        section.reportUnknownKeys()
        val entry = if (vm == null || incarnation == null) null else RetiredVm(vm, incarnation)
        if (entry != null && !known.add(entry)) section.report("incarnation", "is declared more than once")
        entry
    }
}
