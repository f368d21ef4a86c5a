package org.anvilshed.wire.membership

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.encodeToByteArray
import org.anvilshed.core.MonotonicTime
import org.anvilshed.core.VmName
import org.anvilshed.core.ZoneName
import org.anvilshed.core.bundle.BundleDigest
import org.anvilshed.core.membership.AdvertisedBundle
import org.anvilshed.core.membership.PeerContact
import org.anvilshed.core.membership.selectNeighbors
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds

/** One-way delay between regions; a heartbeat interval of 500 ms has 18 rounds. */
private val ROUND = 28.milliseconds
private const val ROUNDS_PER_HEARTBEAT = 18

/** Number of rounds in 5 s, the time in which a signed-off bundle must be in force on all VMs. */
private const val ROUND_LIMIT = 178

/** Heartbeat of the peer protocol without loads and leaving targets, from which the size in bytes is computed. */
@Serializable
private class SizedHeartbeat(
    val sequence: Long,
    val state: String,
    val bundle: AdvertisedBundle,
    val identifierWindow: Long,
    val knownPeers: List<PeerContact>,
)

@OptIn(ExperimentalSerializationApi::class)
private fun heartbeatBytes(contact: PeerContact): Int {
    val bundle = AdvertisedBundle(12_345, BundleDigest("0".repeat(64)))
    return 4 + Cbor.encodeToByteArray(SizedHeartbeat(123_456, "serving", bundle, 1_234, listOf(contact, contact))).size
}

/** Result of the dissemination of one bundle. */
private class Dissemination(val rounds: Int, val requests: Int, val heartbeats: Int, val reached: Int, val live: Int)

/** Disseminates version 2 from one VM, while the fraction [failedFraction] of the VMs is silent and still selected. */
private fun disseminate(count: Int, zones: Int, failedFraction: Double, seed: Int): Dissemination {
    val random = Random(seed)
    val vms = List(count) {
        SimulatedVm(PeerContact(VmName("vm-$it"), ZoneName("zone-${it % zones}"), "127.0.0.1:1"), version = 1)
    }
    val byName = vms.associateBy { it.contact.name }
    val contacts = vms.map { it.contact }
    val byZone = contacts.groupBy { it.zone }
    val failed = vms.drop(1).shuffled(random).take((count * failedFraction).toInt()).toSet()
    for (vm in vms - failed) {
        // A sample of 64 VMs of other zones replaces the full list, which would only make the test slower.
        val others = if (count >
            500
        ) {
            byZone.getValue(vm.contact.zone) + contacts.shuffled(random).take(64)
        } else {
            contacts
        }
        val peers = others.filter { it.name != vm.contact.name }.distinct()
        vm.neighbors = selectNeighbors(vm.contact, peers, peers).map { byName.getValue(it.name) }
    }
    return run(vms, failed, random)
}

private fun run(vms: List<SimulatedVm>, failed: Set<SimulatedVm>, random: Random): Dissemination {
    val live = vms - failed
    val phases = live.associateWith { random.nextInt(ROUNDS_PER_HEARTBEAT) }
    var requests = 0
    var heartbeats = 0
    var rounds = 0
    var messages = live.first().accept(2).map { Triple(live.first(), it.first, it.second) }
    while (live.any { it.version < 2 } && rounds < 10 * ROUND_LIMIT) {
        rounds++
        val now = MonotonicTime(0) + ROUND * rounds
        val sent = mutableListOf<Triple<SimulatedVm, SimulatedVm, SimulatedMessage>>()
        for ((sender, receiver, message) in messages) {
            if (message is SimulatedMessage.Request) requests++
            if (message is SimulatedMessage.Heartbeat) heartbeats++
            if (receiver !in
                failed
            ) {
                receiver.receive(sender, message, now).mapTo(sent) { Triple(receiver, it.first, it.second) }
            }
        }
        for (vm in live) {
            if (rounds % ROUNDS_PER_HEARTBEAT ==
                phases[vm]
            ) {
                vm.heartbeats().mapTo(sent) { Triple(vm, it.first, it.second) }
            }
        }
        messages = sent
    }
    return Dissemination(rounds, requests, heartbeats, live.count { it.version == 2L }, live.size)
}

class DisseminationSimulationTest :
    FunSpec({
        test("one bundle reaches all live VMs within 5 s of one-way trips, also when some VMs are silent") {
            for ((count, zones) in listOf(7 to 6, 100 to 6, 1_000 to 39, 6_800 to 39)) {
                for (failedFraction in listOf(0.0, 0.05, 0.3)) {
                    val result = disseminate(count, zones, failedFraction, seed = 20261204)
                    result.reached shouldBe result.live
                    result.rounds shouldBeLessThanOrEqual ROUND_LIMIT
                    val size = heartbeatBytes(PeerContact(VmName("vm-$count"), ZoneName("zone-0"), "127.0.0.1:12345"))
                    println(
                        "$count VMs, ${(failedFraction * 100).toInt()}% silent: ${result.rounds} rounds " +
                            "(${(ROUND * result.rounds).inWholeMilliseconds} ms), ${result.requests} requests, " +
                            "${result.heartbeats * size / result.live} bytes of heartbeats per VM at $size bytes each",
                    )
                    // Each VM requests a bundle about once, not once per heartbeat.
                    result.requests shouldBeLessThanOrEqual result.live * 11 / 10
                }
            }
        }
    })
