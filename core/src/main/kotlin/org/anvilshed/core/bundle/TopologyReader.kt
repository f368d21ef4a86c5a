package org.anvilshed.core.bundle

import org.anvilshed.core.RegionName
import org.anvilshed.core.ZoneName

/**
 * Regions, zones and links of a document.
 *
 * [regionNames], [zoneNames] and [linkKeys] also contain declarations with a fault, so that the references to them are
 * not reported as further faults.
 *
 * @property regionNames names of all declared regions.
 * @property zoneNames names of all declared zones.
 * @property linkKeys keys of all declared links.
 */
internal class Topology(
    val regions: Map<RegionName, Region>,
    val zones: Map<ZoneName, Zone>,
    val links: Map<LinkKey, Link>,
    val regionNames: Set<RegionName>,
    val zoneNames: Set<ZoneName>,
    val linkKeys: Set<LinkKey>,
)

/** Reads the `regions`, `zones` and `links` tables. */
internal class TopologyReader(private val faults: MutableList<BundleFault>) {
    private val regionNames = mutableSetOf<RegionName>()
    private val zoneNames = mutableSetOf<ZoneName>()

    fun read(
        regionSections: List<DocumentSection>,
        zoneSections: List<DocumentSection>,
        linkSections: List<DocumentSection>,
    ): Topology {
        if (regionSections.isEmpty()) faults += BundleFault("regions", "at least one region is required")
        if (zoneSections.isEmpty()) faults += BundleFault("zones", "at least one zone is required")
        val regions = regionSections.mapNotNull(::readRegion).associateBy { it.name }
        val zones = zoneSections.mapNotNull(::readZone).associateBy { it.name }
        val linkKeys = mutableSetOf<LinkKey>()
        val links = linkSections.mapNotNull { readLink(it, linkKeys) }.associateBy { it.key }
        return Topology(regions, zones, links, regionNames, zoneNames, linkKeys)
    }

    private fun readRegion(section: DocumentSection): Region? {
        val name = section.name("name", ::RegionName)
        val rate = section.number("requests_per_second", NumberRange(0.0, 1e9, minimumExcluded = true))
        section.reportUnknownKeys()
        if (name != null && !regionNames.add(name)) section.report("name", "region $name is declared more than once")
        return if (name == null || rate == null) null else Region(name, rate)
    }

    private fun readZone(section: DocumentSection): Zone? {
        val name = section.name("name", ::ZoneName)
        val region = section.reference("region", regionNames, ::RegionName)
        section.reportUnknownKeys()
        if (name != null && !zoneNames.add(name)) section.report("name", "zone $name is declared more than once")
        return if (name == null || region == null) null else Zone(name, region)
    }

    private fun readLink(section: DocumentSection, known: MutableSet<LinkKey>): Link? {
        val from = section.reference("from", regionNames, ::RegionName)
        val to = section.reference("to", regionNames, ::RegionName)
        val bits = section.long("bits_per_second", 1L..10_000_000_000_000L)
        val usableFraction = section.number("usable", NumberRange(0.0, 1.0, minimumExcluded = true), default = 0.9)
        section.reportUnknownKeys()
        if (from == null || to == null) return null
        if (from == to) section.report("to", "a link joins two different regions, found $from twice")
        val key = LinkKey(from, to)
        if (!known.add(key)) section.report("from", "the link from $from to $to is declared more than once")
        return if (bits == null || usableFraction == null) null else Link(key, bits, usableFraction)
    }
}

/** Reads a name under [key] that must be one of the names [declared] elsewhere in the document. */
internal fun <T : Any> DocumentSection.reference(key: String, declared: Set<T>, construct: (String) -> T): T? {
    val name = name(key, construct) ?: return null
    if (name in declared) return name
    report(key, "$name is not declared; declared are ${declared.joinToString().ifEmpty { "none" }}")
    return null
}
