package org.anvilshed.core.routing

import org.anvilshed.core.Incarnation
import org.anvilshed.core.KindName
import org.anvilshed.core.MonotonicTime
import org.anvilshed.core.RegionName
import org.anvilshed.core.ServiceName
import org.anvilshed.core.TargetName
import org.anvilshed.core.VmIdentity
import org.anvilshed.core.VmName
import org.anvilshed.core.ZoneName
import org.anvilshed.core.bundle.Bundle
import org.anvilshed.core.bundle.DesiredTargetState
import org.anvilshed.core.bundle.Region
import org.anvilshed.core.bundle.RequestKind
import org.anvilshed.core.bundle.Service
import org.anvilshed.core.bundle.Target
import org.anvilshed.core.bundle.Zone
import kotlin.random.Random
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

internal val BOOKING = ServiceName("booking")
internal val NBO = RegionName("nbo")
internal val MSA = RegionName("msa")
internal val KSM = RegionName("ksm")
internal val NBO_A = ZoneName("nbo-a")
internal val NBO_B = ZoneName("nbo-b")
internal val WALL: Instant = Instant.fromEpochSeconds(1_800_000_000)

/** Long after the slow start of targets that a bundle introduced at time 0. */
internal val WARM = MonotonicTime(0) + 100.seconds

internal fun targetName(number: Int, zone: ZoneName = NBO_A) = TargetName("booking-$zone-$number")

internal fun target(
    number: Int,
    zone: ZoneName = NBO_A,
    slots: Int = 4,
    intent: DesiredTargetState = DesiredTargetState.ACTIVE,
    leavesAt: Instant? = null,
    address: String = "127.0.0.1:${9000 + number}",
) = Target(targetName(number, zone), BOOKING, zone, address, slots, 330, intent, leavesAt)

internal fun bundle(targets: List<Target>): Bundle {
    val payout = RequestKind(KindName("payout"), idempotent = false, priority = 20.0, deadline = 5.seconds, 10.seconds)
    return Bundle(
        version = 1,
        comment = "",
        lookupTimeToLive = 5.seconds,
        shareCount = 64,
        isolationLimit = 2.hours,
        revokedKeys = emptySet(),
        regions = listOf(NBO, MSA, KSM).associateWith { Region(it, 2000.0) },
        zones = (targets.map { it.zone } + NBO_A + NBO_B).associateWith { Zone(it, NBO) },
        links = emptyMap(),
        services = mapOf(BOOKING to Service(BOOKING, 1 shl 20, 0.3, 10.seconds, 0.1, mapOf(payout.name to payout))),
        targets = targets.associateBy { it.name },
        moves = emptyList(),
        clientBlocks = emptyList(),
        retired = emptyList(),
    )
}

internal fun registry(vararg targets: Target) =
    TargetRegistry().also { it.applyBundle(bundle(targets.toList()), MonotonicTime(0)) }

internal fun TargetRegistry.state(number: Int, zone: ZoneName = NBO_A): TargetState =
    checkNotNull(table.targetOrNull(targetName(number, zone)))

internal fun peer(zone: String, number: Int = 1) = PeerLocation(
    VmIdentity(VmName("$zone-$number"), Incarnation(number.toLong())),
    ZoneName(zone),
    RegionName(zone.substringBefore('-')),
)

internal fun peers(vararg locations: PeerLocation) = PeerRouteRegistry().also {
    it.applyPeers(locations.toList(), listOf(BOOKING))
}

internal fun PeerRouteRegistry.route(location: PeerLocation): PeerRoute =
    checkNotNull(routeOrNull(location.vm, BOOKING))

internal fun plan(targets: TargetRegistry, peers: PeerRouteRegistry, vararg moves: PlannedMove) = buildRoutePlan(
    BOOKING,
    NBO_A,
    NBO,
    listOf(NBO_A, NBO_B),
    listOf(KSM, MSA),
    moves.toList(),
    targets.table,
    peers.routesFor(BOOKING),
)

internal fun routeRequest(
    now: MonotonicTime = WARM,
    mayForward: Boolean = true,
    avoidTarget: TargetState? = null,
    seed: Int = 1,
    wallNow: Instant = WALL,
) = RouteRequest(now, wallNow, Random(seed), mayForward, avoidTarget)
