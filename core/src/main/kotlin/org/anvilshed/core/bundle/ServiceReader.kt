package org.anvilshed.core.bundle

import org.anvilshed.core.KindName
import org.anvilshed.core.RegionName
import org.anvilshed.core.ServiceName
import org.anvilshed.core.TargetName
import org.anvilshed.core.ZoneName
import kotlin.time.Duration

private const val LONGEST_DEADLINE_MILLISECONDS = 50_000L

/** Allows for the rounding of a sum of fractions, such as 0.1 + 0.2, which must not exceed a cap of 0.3. */
private const val FRACTION_TOLERANCE = 1e-9

/** Reads the `services`, `kinds`, `targets` and `moves` tables. [readServices] must be called first. */
internal class ServiceReader(private val faults: MutableList<BundleFault>, private val topology: Topology) {
    private val serviceNames = mutableSetOf<ServiceName>()
    private val shiftCaps = mutableMapOf<ServiceName, Double>()
    private val regionsOfService = mutableMapOf<ServiceName, MutableSet<RegionName>>()
    private var targetsAreValid = false

    fun readServices(
        serviceSections: List<DocumentSection>,
        kindSections: List<DocumentSection>,
    ): Map<ServiceName, Service> {
        val services = serviceSections.mapNotNull(::readService)
        val kinds = mutableMapOf<ServiceName, MutableMap<KindName, RequestKind>>()
        val kindNames = mutableSetOf<Pair<ServiceName, KindName>>()
        for (section in kindSections) {
            val (service, kind) = readKind(section, kindNames) ?: continue
            kinds.getOrPut(service) { linkedMapOf() }[kind.name] = kind
        }
        for (name in serviceNames - kindNames.map { it.first }.toSet()) {
            faults += BundleFault("services", "service $name has no kind in [[kinds]]")
        }
        return services.map { it.copy(kinds = kinds[it.name].orEmpty()) }.associateBy { it.name }
    }

    fun readTargets(sections: List<DocumentSection>): Map<TargetName, Target> {
        val names = mutableSetOf<TargetName>()
        val addresses = mutableSetOf<String>()
        val targets = sections.mapNotNull { readTarget(it, names, addresses) }.associateBy { it.name }
        targetsAreValid = targets.size == sections.size
        return targets
    }

    fun readMoves(sections: List<DocumentSection>): List<Move> {
        val known = mutableSetOf<Triple<ServiceName, RegionName, RegionName>>()
        val moves = sections.mapNotNull { readMove(it, known) }
        for ((origin, group) in moves.groupBy { it.service to it.from }) {
            val (service, from) = origin
            val cap = shiftCaps[service] ?: continue
            val sum = group.sumOf { it.fraction }
            if (sum > cap + FRACTION_TOLERANCE) {
                faults += BundleFault("moves", "moves of $service from $from add up to $sum; shift_cap allows $cap")
            }
        }
        return moves
    }

    private fun readService(section: DocumentSection): Service? {
        val name = section.name("name", ::ServiceName)
        val bodyBytes = section.long("maximum_body_bytes", 0L..1_073_741_824L, default = 10_485_760)
        val cap = section.number("shift_cap", NumberRange(0.0, 1.0))
        val window = section.milliseconds("shift_window_ms", 100L..600_000L, default = 10_000)
        val ramp = section.number("shift_ramp", NumberRange(0.0, 1.0, minimumExcluded = true), default = 0.1)
        section.reportUnknownKeys()
        if (name != null && !serviceNames.add(name)) section.report("name", "service $name is declared more than once")
        if (name != null && cap != null) shiftCaps[name] = cap
        if (name == null || bodyBytes == null || cap == null) return null
        return if (window == null ||
            ramp == null
        ) {
            null
        } else {
            Service(name, bodyBytes, cap, window, ramp, kinds = emptyMap())
        }
    }

    private fun readKind(
        section: DocumentSection,
        known: MutableSet<Pair<ServiceName, KindName>>,
    ): Pair<ServiceName, RequestKind>? {
        val service = section.reference("service", serviceNames, ::ServiceName)
        val name = section.name("name", ::KindName)
        val idempotent = section.boolean("idempotent")
        val priority = section.number("worth", NumberRange(0.0, 1e6, minimumExcluded = true), default = 1.0)
        val deadline = section.milliseconds("deadline_ms", 1L..LONGEST_DEADLINE_MILLISECONDS)
        val maximum = section.milliseconds("maximum_deadline_ms", 1L..LONGEST_DEADLINE_MILLISECONDS, default = 10_000)
        section.reportUnknownKeys()
        if (service != null && name != null && !known.add(service to name)) {
            section.report("name", "kind $name of service $service is declared more than once")
        }
        reportLongDeadline(section, deadline, maximum)
        if (service == null || name == null || idempotent == null) return null
        if (priority == null || deadline == null || maximum == null) return null
        return service to RequestKind(name, idempotent, priority, deadline, maximum)
    }

    private fun reportLongDeadline(section: DocumentSection, deadline: Duration?, maximum: Duration?) {
        if (deadline == null || maximum == null || deadline <= maximum) return
        section.report("deadline_ms", "is longer than maximum_deadline_ms, which is ${maximum.inWholeMilliseconds}")
    }

    private fun readTarget(
        section: DocumentSection,
        names: MutableSet<TargetName>,
        addresses: MutableSet<String>,
    ): Target? {
        val service = section.reference("service", serviceNames, ::ServiceName)
        val name = section.name("name", ::TargetName)
        val zone = section.reference("zone", topology.zoneNames, ::ZoneName)
        val address = section.converted("address", "IPv4:port or [IPv6]:port", convert = ::parseSocketAddressOrNull)
        val capacity = readCapacity(section)
        val desiredState = section.converted(
            "state",
            "\"active\" or \"leaving\"",
            DesiredTargetState.ACTIVE,
            ::parseDesiredStateOrNull,
        )
        val leavesAt = section.optionalInstant("leaves_at")
        section.reportUnknownKeys()
        if (name != null && !names.add(name)) section.report("name", "target $name is declared more than once")
        if (address != null && !addresses.add(address)) section.report("address", "$address is used more than once")
        if (service == null || name == null || zone == null) return null
        topology.zones[zone]?.let { regionsOfService.getOrPut(service) { mutableSetOf() } += it.region }
        if (address == null || capacity == null || desiredState == null) return null
        return Target(name, service, zone, address, capacity.slots, capacity.connections, desiredState, leavesAt)
    }

    private fun readCapacity(section: DocumentSection): Capacity? {
        val slots = section.int("slots", 1..10_000)
        val connections = section.int("connections", 1..1_000_000)
        if (slots == null || connections == null) return null
        if (connections < slots) {
            section.report("connections", "expected at least slots, which is $slots, found $connections")
        }
        return Capacity(slots, connections)
    }

    private fun parseDesiredStateOrNull(text: String): DesiredTargetState? =
        DesiredTargetState.entries.find { it.name.lowercase() == text }

    private fun readMove(
        section: DocumentSection,
        known: MutableSet<Triple<ServiceName, RegionName, RegionName>>,
    ): Move? {
        val service = section.reference("service", serviceNames, ::ServiceName)
        val from = section.reference("from", topology.regionNames, ::RegionName)
        val to = section.reference("to", topology.regionNames, ::RegionName)
        val fraction = section.number("fraction", NumberRange(0.0, 1.0))
        val startedAt = section.optionalInstant("started_at")
        section.reportUnknownKeys()
        if (service == null || from == null || to == null) return null
        if (!known.add(Triple(service, from, to))) {
            section.report("service", "the move of $service from $from to $to is declared more than once")
        }
        when {
            from == to -> section.report("to", "a move joins two different regions, found $from twice")

            LinkKey(from, to) !in topology.linkKeys ->
                section.report("to", "there is no link from $from to $to in [[links]]")

            targetsAreValid && to !in regionsOfService[service].orEmpty() ->
                section.report("to", "service $service has no target in region $to")
        }
        return fraction?.let { Move(service, from, to, it, startedAt) }
    }

    private class Capacity(val slots: Int, val connections: Int)
}
