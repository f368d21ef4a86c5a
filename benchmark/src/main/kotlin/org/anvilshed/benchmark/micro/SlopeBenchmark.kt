package org.anvilshed.benchmark.micro

import kotlinx.serialization.json.Json
import org.anvilshed.core.Incarnation
import org.anvilshed.core.MonotonicTime
import org.anvilshed.core.RegionName
import org.anvilshed.core.ServiceName
import org.anvilshed.core.VmIdentity
import org.anvilshed.core.VmName
import org.anvilshed.core.ZoneName
import org.anvilshed.core.bundle.BundleDigest
import org.anvilshed.core.bundle.BundleParseResult
import org.anvilshed.core.bundle.parseBundle
import org.anvilshed.core.execution.ExecutionAdmission
import org.anvilshed.core.execution.ExecutionLimits
import org.anvilshed.core.execution.ExecutionRecords
import org.anvilshed.core.execution.IdentifierWindows
import org.anvilshed.core.execution.RecordedAnswer
import org.anvilshed.core.execution.RequestIdentifier
import org.anvilshed.core.lookup.EntryCandidate
import org.anvilshed.core.lookup.EntrySelector
import org.anvilshed.core.membership.AdvertisedBundle
import org.anvilshed.core.membership.PeerContact
import org.anvilshed.core.membership.PeerTable
import org.anvilshed.core.membership.selectNeighbors
import org.anvilshed.core.routing.LocalDispatchLimit
import org.anvilshed.core.routing.PeerLocation
import org.anvilshed.core.routing.PeerRouteRegistry
import org.anvilshed.core.routing.RegionMoveLimit
import org.anvilshed.core.routing.RouteChooser
import org.anvilshed.core.routing.RouteLimits
import org.anvilshed.core.routing.RouteRequest
import org.anvilshed.core.routing.TargetTable
import org.anvilshed.core.routing.buildRoutePlan
import org.anvilshed.core.seats.LedgerMember
import org.anvilshed.core.seats.ShareLedger
import org.anvilshed.core.seats.ShareScope
import org.anvilshed.core.seats.ShareSet
import org.anvilshed.core.seats.encodeOwners
import org.anvilshed.core.seats.idealAllocation
import org.anvilshed.wire.peer.DeclaredState
import org.anvilshed.wire.peer.Heartbeat
import org.anvilshed.wire.peer.ServiceLoad
import org.anvilshed.wire.peer.decodeFrame
import org.anvilshed.wire.peer.encodeFrame
import kotlin.random.Random
import kotlin.time.Clock

private const val SHARES_PER_MEMBER = 4
private const val BYTES_PER_ANSWER = 512
private const val REGIONS = 18
private const val WARM_UP_SIZE = 1_000
private const val ZONES = 39
private const val NANOSECONDS_PER_MICROSECOND = 1e3
private const val NANOSECONDS_PER_MILLISECOND = 1e6
private const val BUNDLE_ROUNDS = 10
private const val BYTES_PER_MEGABYTE = 1e6
private const val LEDGER_ROUNDS = 500
private const val PEER_TABLE_ROUNDS = 100
private const val HEARTBEAT_ROUNDS = 20_000
private const val ROUTING_ROUNDS = 1_000_000
private const val ANSWER_ROUNDS = 100_000
private val ZONE = ZoneName("zone-0")
private val SERVICE = ServiceName("booking")

private fun identity(index: Int) = VmIdentity(VmName("vm-$index"), Incarnation(index.toLong()))

/** Cost of the share ledger of one scope by its number of members. */
private fun shareLedgerRow(members: Int): List<Double> {
    val ledger = ledgerOf(members)
    val text = Json.encodeToString(ShareLedger.serializer(), ledger)
    val codec = measureCost(LEDGER_ROUNDS) {
        Json.decodeFromString(ShareLedger.serializer(), Json.encodeToString(ShareLedger.serializer(), ledger))
    }
    val all = ShareSet.of(ledger.shares, (0 until ledger.shares).toList())
    val ideal = measureCost(LEDGER_ROUNDS) { idealAllocation(ShareScope.OfZone(ZONE), ledger.members, all) }
    return listOf(
        text.length.toDouble(),
        codec.nanoseconds / NANOSECONDS_PER_MICROSECOND,
        ideal.nanoseconds / NANOSECONDS_PER_MICROSECOND,
    )
}

private fun ledgerOf(members: Int): ShareLedger {
    val list = List(members) {
        LedgerMember(identity(it), ZONE, "10.0.0.$it:7000", renewal = 1_000, writeId = it.toLong())
    }
    val shares = members * SHARES_PER_MEMBER
    return ShareLedger(shares, list, encodeOwners(List(shares) { list[it / SHARES_PER_MEMBER].identity }))
}

/** Cost of the table of all peers by the number of known VMs. */
private fun membershipRow(vms: Int): List<Double> {
    val before = usedHeapAfterCollection()
    val peerTable = PeerTable(identity(vms))
    repeat(vms) { index ->
        val contact = PeerContact(VmName("vm-$index"), ZoneName("zone-${index % ZONES}"), "10.0.${index / 250}.1:7000")
        peerTable.recordMessage(contact, Incarnation(index.toLong()), isLeaving = false, MonotonicTime(0))
    }
    val bytes = usedHeapAfterCollection() - before
    val self = PeerContact(VmName("self"), ZoneName("zone-1"), "10.9.9.9:7000")
    val contacts = peerTable.contacts()
    val choice = measureCost(PEER_TABLE_ROUNDS) {
        selectNeighbors(self, contacts, peerTable.neighborCandidates(MonotonicTime(it.toLong())))
    }
    val snapshot = measureCost(PEER_TABLE_ROUNDS) { peerTable.peers(MonotonicTime(it.toLong())) }
    return listOf(
        bytes.toDouble() / vms,
        choice.nanoseconds / NANOSECONDS_PER_MICROSECOND,
        snapshot.nanoseconds / NANOSECONDS_PER_MICROSECOND,
    )
}

/** Size and cost of a heartbeat of three services by the number of peers that it announces. */
private fun heartbeatRow(peers: Int): List<Double> {
    val heartbeat = Heartbeat(
        sequence = 123_456,
        state = DeclaredState.SERVING,
        bundle = AdvertisedBundle(123, BundleDigest("0".repeat(64))),
        identifierWindow = 42,
        loads = List(3) { ServiceLoad(ServiceName("service-$it"), 8, 4, 0, 3) },
        targetsLeaving = emptyList(),
        knownPeers = List(peers) { PeerContact(VmName("vm-$it"), ZONE, "10.0.0.$it:7000", RegionName("region-0")) },
    )
    val cost = measureCost(HEARTBEAT_ROUNDS) { decodeFrame(encodeFrame(heartbeat)) }
    return listOf(encodeFrame(heartbeat).size.toDouble(), cost.nanoseconds / NANOSECONDS_PER_MICROSECOND)
}

/** Cost of a routing decision by the number of sites, each with one peer. */
private fun routingRow(sites: Int): List<Double> {
    val registry = PeerRouteRegistry()
    val locations = List(sites) { PeerLocation(identity(it), ZoneName("zone-$it"), RegionName("region-$it")) }
    registry.applyPeers(locations, listOf(SERVICE))
    val routes = registry.routesFor(SERVICE)
    routes.forEach { it.recordReport(freeSlots = Int.MAX_VALUE / 2, MonotonicTime(0)) }
    val plan = buildRoutePlan(
        SERVICE,
        ZoneName("own"),
        RegionName("own"),
        listOf(ZoneName("own")),
        locations.map { it.region },
        moves = emptyList(),
        TargetTable.EMPTY,
        routes,
    )
    val chooser = RouteChooser(RouteLimits(LocalDispatchLimit { null }, RegionMoveLimit { _, _ -> null }))
    val random = Random(1)
    val wallNow = Clock.System.now()
    val cost = measureCost(ROUTING_ROUNDS) {
        chooser.route(plan, RouteRequest(MonotonicTime(it.toLong()), wallNow, random))
    }
    return listOf(cost.nanoseconds, cost.allocatedBytes)
}

/** Cost of an execution record with an answer of [BYTES_PER_ANSWER] bytes by the number of records. */
private fun recordsRow(count: Int): List<Double> {
    val before = usedHeapAfterCollection()
    val records = ExecutionRecords(identity(1), IdentifierWindows(MonotonicTime(0)), ExecutionLimits())
    val start = System.nanoTime()
    repeat(count) { runRequest(records, it) }
    val elapsed = System.nanoTime() - start
    val bytes = usedHeapAfterCollection() - before
    check(records.recordCount == count) { "${records.recordCount} records instead of $count" }
    return listOf(bytes.toDouble() / count, elapsed / NANOSECONDS_PER_MICROSECOND / count)
}

private fun runRequest(records: ExecutionRecords, index: Int) {
    val now = MonotonicTime(index.toLong())
    val identifier = RequestIdentifier(records.owner, window = 0, nonce = "nonce-%08d".format(index))
    val admitted = records.admit(identifier) { now }
    check(admitted is ExecutionAdmission.Admitted) { "request $index was not admitted" }
    admitted.execution.dispatch(MonotonicTime(Long.MAX_VALUE), { now }) { null }
    admitted.execution.complete(RecordedAnswer(200, emptyList(), ByteArray(BYTES_PER_ANSWER), target = null))
}

/** Cost of a lookup answer by the number of candidate entry VMs in [REGIONS] regions. */
private fun lookupAnswerRow(size: Int): List<Double> {
    val selector = EntrySelector(
        List(size) {
            val region = RegionName("region-${it % REGIONS}")
            EntryCandidate(identity(it), ZoneName("zone-${it % ZONES}"), region, "http://10.0.0.$it:80", 1, 1.0)
        },
    )
    val region = RegionName("region-3")
    val cost = measureCost(ANSWER_ROUNDS) { selector.select(it.toLong(), region, zone = null, count = 3) }
    return listOf(cost.nanoseconds, cost.allocatedBytes)
}

/** Size and cost of the client block table by its number of blocks. */
private fun clientBlocksRow(blocks: Int): List<Double> {
    val figures = measureClientBlockTable(blocks, seed = 1)
    return listOf(
        figures.tableBytes.toDouble() / blocks,
        figures.tableBytes / BYTES_PER_MEGABYTE,
        figures.lookupNanoseconds,
        figures.changeMicroseconds,
    )
}

/** Size of a bundle document and the cost of parsing and checking it by its number of targets. */
private fun bundleRow(targets: Int): List<Double> {
    val document = bundleDocument(targets)
    check(parseBundle(document) is BundleParseResult.Valid) { "the document has faults: ${parseBundle(document)}" }
    val cost = measureCost(BUNDLE_ROUNDS) { parseBundle(document) }
    return listOf(document.length.toDouble(), cost.nanoseconds / NANOSECONDS_PER_MILLISECOND)
}

private fun bundleDocument(targets: Int): String = buildString {
    append("format = 1\nversion = 1\ncomment = \"slope\"\nlookup_ttl_ms = 2000\nseats = 64\n")
    append("isolation_limit_ms = 7200000\nrevoked_keys = []\n")
    append("[[regions]]\nname = \"nbo\"\nrequests_per_second = 5000.0\n")
    append("[[zones]]\nname = \"nbo-a\"\nregion = \"nbo\"\n")
    append("[[services]]\nname = \"booking\"\nmaximum_body_bytes = 1048576\n")
    append("shift_cap = 0.3\nshift_window_ms = 10000\nshift_ramp = 0.1\n")
    append("[[kinds]]\nservice = \"booking\"\nname = \"read\"\nidempotent = true\nworth = 1.0\n")
    append("deadline_ms = 1000\nmaximum_deadline_ms = 5000\n")
    repeat(targets) { index ->
        append("[[targets]]\nservice = \"booking\"\nname = \"target-$index\"\nzone = \"nbo-a\"\n")
        append("address = \"10.0.${index / 250}.${index % 250}:9000\"\n")
        append("slots = 4\nconnections = 330\nstate = \"active\"\n")
    }
}

/** Columns of a table and the function that measures a row; the first column is the size, which [row] leaves out. */
private class SlopeTable(val columns: List<String>, val row: (Int) -> List<Double>)

private val tables = mapOf(
    "client-blocks" to
        SlopeTable(listOf("blocks", "bytes/block", "MB", "lookup ns", "change us"), ::clientBlocksRow),
    "lookup-answers" to SlopeTable(listOf("candidates", "ns", "bytes allocated"), ::lookupAnswerRow),
    "routing" to SlopeTable(listOf("sites", "ns", "bytes allocated"), ::routingRow),
    "records" to SlopeTable(listOf("records", "heap bytes each", "us each"), ::recordsRow),
    "seat-ledger" to SlopeTable(listOf("members", "JSON bytes", "codec us", "allocation us"), ::shareLedgerRow),
    "membership" to SlopeTable(listOf("VMs", "heap bytes each", "neighbors us", "snapshot us"), ::membershipRow),
    "bundle" to SlopeTable(listOf("targets", "bytes", "parse ms"), ::bundleRow),
    "heartbeat" to SlopeTable(listOf("peers told", "bytes", "codec us"), ::heartbeatRow),
    "placement" to SlopeTable(
        listOf("targets", "request us", "bytes allocated", "full service us", "bytes allocated"),
        ::placementRow,
    ),
)

/**
 * Prints one row of a table of `docs/CAPACITY.md` that shows how a cost grows with a size. The [arguments] are the name
 * of the table and the size. Each row needs a JVM of its own, since objects of an earlier row would count as heap in
 * use.
 *
 * @throws IllegalArgumentException if the table is unknown or the size is not a number.
 */
public fun main(arguments: Array<String>) {
    val table = arguments.getOrNull(0)?.let(tables::get)
    val size = arguments.getOrNull(1)?.toIntOrNull()
    require(table != null && size != null) { "usage: TABLE SIZE, where TABLE is one of ${tables.keys}" }
    // Without this run, classes loaded and released during the measured run would count as heap of the table.
    table.row(minOf(size, WARM_UP_SIZE))
    val row = table.row(size)
    val cells = table.columns.drop(1).zip(row) { column, value -> "%s %.1f".format(column, value) }
    println("${arguments[0]}: ${table.columns.first()} $size, " + cells.joinToString(", "))
}
