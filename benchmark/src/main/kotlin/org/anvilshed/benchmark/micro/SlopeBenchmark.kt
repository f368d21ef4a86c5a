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
import org.anvilshed.core.execution.Admission
import org.anvilshed.core.execution.ExecutionLimits
import org.anvilshed.core.execution.ExecutionRecords
import org.anvilshed.core.execution.IdentifierWindows
import org.anvilshed.core.execution.RecordedAnswer
import org.anvilshed.core.execution.RequestIdentifier
import org.anvilshed.core.lookup.EntryCandidate
import org.anvilshed.core.lookup.EntryDirectory
import org.anvilshed.core.membership.AdvertisedBundle
import org.anvilshed.core.membership.PeerContact
import org.anvilshed.core.membership.PeerView
import org.anvilshed.core.membership.selectNeighbors
import org.anvilshed.core.routing.LocalLimit
import org.anvilshed.core.routing.MoveLimit
import org.anvilshed.core.routing.PeerPlace
import org.anvilshed.core.routing.PeerRegistry
import org.anvilshed.core.routing.RouteChooser
import org.anvilshed.core.routing.RouteLimits
import org.anvilshed.core.routing.RouteRequest
import org.anvilshed.core.routing.TargetTable
import org.anvilshed.core.routing.buildRegionPlan
import org.anvilshed.core.seats.SeatLedger
import org.anvilshed.core.seats.SeatMember
import org.anvilshed.core.seats.SeatScope
import org.anvilshed.core.seats.SeatSet
import org.anvilshed.core.seats.encodeOwners
import org.anvilshed.core.seats.idealAllocation
import org.anvilshed.wire.peer.DeclaredState
import org.anvilshed.wire.peer.Heartbeat
import org.anvilshed.wire.peer.ServiceLoad
import org.anvilshed.wire.peer.decodeFrame
import org.anvilshed.wire.peer.encodeFrame
import kotlin.random.Random
import kotlin.time.Clock

private const val SEATS_PER_MEMBER = 4
private const val BYTES_PER_ANSWER = 512
private val ZONE = ZoneName("zone-0")
private val SERVICE = ServiceName("booking")

private fun identity(index: Int) = VmIdentity(VmName("vm-$index"), Incarnation(index.toLong()))

/** Prints the cost of the seat ledger of one scope by its number of members. */
public fun printSeatLedgerSlope() {
    println("seat ledger: members, JSON bytes, encode+decode us, ideal allocation us")
    for (members in listOf(2, 20, 60, 174, 378)) {
        val ledger = ledgerOf(members)
        val text = Json.encodeToString(SeatLedger.serializer(), ledger)
        val codec = costOf(200) {
            val encoded = Json.encodeToString(SeatLedger.serializer(), ledger)
            Json.decodeFromString(SeatLedger.serializer(), encoded)
        }
        val all = SeatSet.of(ledger.seats, (0 until ledger.seats).toList())
        val ideal = costOf(500) { idealAllocation(SeatScope.OfZone(ZONE), ledger.members, all) }
        println("%8d %10d %12.0f %12.0f".format(members, text.length, codec.nanoseconds / 1e3, ideal.nanoseconds / 1e3))
    }
}

private fun ledgerOf(members: Int): SeatLedger {
    val list =
        List(members) { SeatMember(identity(it), ZONE, "10.0.0.$it:7000", renewal = 1_000, writeId = it.toLong()) }
    val seats = members * SEATS_PER_MEMBER
    return SeatLedger(seats, list, encodeOwners(List(seats) { list[it / SEATS_PER_MEMBER].identity }))
}

/** Prints the cost of membership by the number of known VMs, and of one heartbeat. */
public fun printMembershipSlope() {
    println("membership: VMs known, heap bytes per VM, neighbor selection us, snapshot us")
    for (vms in listOf(7, 425, 1_700, 6_800)) {
        val before = usedHeapAfterCollection()
        val view = PeerView(identity(vms))
        repeat(vms) { index ->
            val contact = PeerContact(VmName("vm-$index"), ZoneName("zone-${index % 39}"), "10.0.${index / 250}.1:7000")
            view.heard(contact, Incarnation(index.toLong()), isLeaving = false, MonotonicTime(0))
        }
        val bytes = usedHeapAfterCollection() - before
        val self = PeerContact(VmName("self"), ZoneName("zone-1"), "10.9.9.9:7000")
        val contacts = view.contacts()
        val choice = costOf(50) { selectNeighbors(self, contacts, view.neighborCandidates(MonotonicTime(it.toLong()))) }
        val snapshot = costOf(50) { view.peers(MonotonicTime(it.toLong())) }
        val columns = listOf(bytes.toDouble() / vms, choice.nanoseconds / 1e3, snapshot.nanoseconds / 1e3)
        println("%8d %10.0f %12.0f %12.0f".format(vms, columns[0], columns[1], columns[2]))
    }
}

/** Prints size and cost of heartbeats by the number of services reported. */
public fun printHeartbeatSlope() {
    println("heartbeat: services, known peers told, bytes, encode+decode us")
    for ((services, peers) in listOf(3 to 0, 3 to 6, 3 to 16, 10 to 6, 30 to 6)) {
        val heartbeat = heartbeatOf(services, peers)
        val cost = costOf(5_000) { decodeFrame(encodeFrame(heartbeat)) }
        println("%8d %8d %8d %10.1f".format(services, peers, encodeFrame(heartbeat).size, cost.nanoseconds / 1e3))
    }
}

private fun heartbeatOf(services: Int, peers: Int) = Heartbeat(
    sequence = 123_456,
    state = DeclaredState.SERVING,
    bundle = AdvertisedBundle(123, BundleDigest("0".repeat(64))),
    identifierWindow = 42,
    loads = List(services) { ServiceLoad(ServiceName("service-$it"), 8, 4, 0, 3) },
    targetsLeaving = emptyList(),
    knownPeers = List(peers) { PeerContact(VmName("vm-$it"), ZONE, "10.0.0.$it:7000", RegionName("region-0")) },
)

/** Prints the cost of a routing decision by the number of sites, each with one peer. */
public fun printRoutingSlope() {
    println("routing: sites, ns per decision, bytes allocated per decision")
    for (sites in listOf(45, 180, 720)) {
        val registry = PeerRegistry()
        val places = List(sites) { PeerPlace(identity(it), ZoneName("zone-$it"), RegionName("region-$it")) }
        registry.applyPeers(places, listOf(SERVICE))
        val routes = registry.routesFor(SERVICE)
        routes.forEach { it.recordReport(freeSlots = Int.MAX_VALUE / 2, MonotonicTime(0)) }
        val plan = buildRegionPlan(
            SERVICE,
            ZoneName("own"),
            RegionName("own"),
            listOf(ZoneName("own")),
            places.map { it.region },
            moves = emptyList(),
            TargetTable.EMPTY,
            routes,
        )
        val chooser = RouteChooser(RouteLimits(LocalLimit { null }, MoveLimit { _, _ -> null }))
        val random = Random(1)
        val wallNow = Clock.System.now()
        val cost = costOf(500_000) { chooser.route(plan, RouteRequest(MonotonicTime(it.toLong()), wallNow, random)) }
        println("%8d %10.0f %10.0f".format(sites, cost.nanoseconds, cost.allocatedBytes))
    }
}

/** Prints the cost of the records of non-idempotent requests by their number. */
public fun printRecordsSlope() {
    println("execution records ($BYTES_PER_ANSWER byte answers): records, heap bytes per record, us per request")
    for (count in listOf(5_000, 10_000, 20_000, 50_000)) {
        val windows = IdentifierWindows(MonotonicTime(0))
        val before = usedHeapAfterCollection()
        val records = ExecutionRecords(identity(1), windows, ExecutionLimits())
        val start = System.nanoTime()
        repeat(count) { run(records, it) }
        val elapsed = System.nanoTime() - start
        val bytes = usedHeapAfterCollection() - before
        println("%8d %10.0f %10.2f".format(records.recordCount, bytes.toDouble() / count, elapsed / 1e3 / count))
    }
}

private fun run(records: ExecutionRecords, index: Int) {
    val now = MonotonicTime(index.toLong())
    val identifier = RequestIdentifier(records.owner, window = 0, nonce = "nonce-%08d".format(index))
    val admitted = records.admit(identifier) { now }
    check(admitted is Admission.Admitted) { "request $index was not admitted" }
    admitted.execution.dispatch(MonotonicTime(Long.MAX_VALUE), { now }) { null }
    admitted.execution.complete(RecordedAnswer(200, emptyList(), ByteArray(BYTES_PER_ANSWER), target = null))
}

/** Prints the cost of a lookup answer by the number of entry VMs it chooses from. */
public fun printEntrySlope() {
    println("lookup answer: candidates, ns per answer, bytes allocated")
    for (size in listOf(7, 39, 156, 312)) {
        val directory = EntryDirectory(
            List(size) {
                val region = RegionName("region-${it % 18}")
                EntryCandidate(identity(it), ZoneName("zone-${it % 39}"), region, "http://10.0.0.$it:80", 1, 1.0)
            },
        )
        val region = RegionName("region-3")
        val cost = costOf(50_000) { directory.select(it.toLong(), region, zone = null, count = 3) }
        println("%8d %10.0f %10.0f".format(size, cost.nanoseconds, cost.allocatedBytes))
    }
}

/** Prints all tables of slopes of `docs/CAPACITY.md`. */
public fun main() {
    printLookupTable()
    printEntrySlope()
    printRoutingSlope()
    printRecordsSlope()
    printSeatLedgerSlope()
    printMembershipSlope()
    printHeartbeatSlope()
}
