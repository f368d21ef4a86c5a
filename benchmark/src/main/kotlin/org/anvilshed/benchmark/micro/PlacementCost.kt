package org.anvilshed.benchmark.micro

import org.anvilshed.core.MonotonicTime
import org.anvilshed.core.RegionName
import org.anvilshed.core.ServiceName
import org.anvilshed.core.SocketAddress
import org.anvilshed.core.ZoneName
import org.anvilshed.core.fleet.RegisteredTarget
import org.anvilshed.core.fleet.TargetKey
import org.anvilshed.core.ingress.ServicePolicy
import org.anvilshed.core.placement.InFlightRequest
import org.anvilshed.core.placement.Placement
import org.anvilshed.core.placement.PlacementRequest
import org.anvilshed.core.placement.PlacementSettings
import org.anvilshed.core.placement.ServicePool
import org.anvilshed.core.placement.ShiftChangeLimiter
import org.anvilshed.core.placement.TargetOutcome
import org.anvilshed.core.placement.WorkloadClass
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val SLOTS = 6
private const val REGION_COUNT = 3
private const val OBJECTS = 300
private const val WAITING = 64
private const val OFFER_ROUNDS = 4_000
private const val DISPATCH_ROUNDS = 400
private const val NANOSECONDS_PER_MICROSECOND = 1e3

/** Fraction of the slots of each target that other VMs occupy. */
private const val OCCUPANCY_OF_OTHERS = 0.6
private val ZONES = List(REGION_COUNT) { ZoneName("zone-$it") }
private val SETTINGS = PlacementSettings(
    zone = ZONES.first(),
    regions = ZONES.withIndex().associate { (index, zone) -> zone to RegionName("region-$index") },
    retryRatio = 0.2,
    retryWindow = 10.seconds,
    retrySlack = 200.0,
    coldOvershoot = 1.5,
    coldSlack = 8.0,
    maximumShift = 0.15,
)

/** Entry VM with a service of [targets] targets, to which it sends a request each millisecond. */
private class PlacementLoad(targets: Int) {
    private val shiftLimiter = ShiftChangeLimiter({ SETTINGS.maximumShift }, RegionName("region-0"))
    private val pool = ServicePool("vm", { SETTINGS }, shiftLimiter) {
        if (it == SETTINGS.zone) 1.milliseconds else 110.milliseconds
    }
    private val inFlight = ArrayDeque<InFlightRequest>()
    private var now = MonotonicTime(1_000_000_000_000)
    private val concurrent = targets.coerceAtMost(OBJECTS)

    init {
        val fleet = List(targets) { index ->
            RegisteredTarget(
                key = TargetKey("target-$index", 1),
                service = ServiceName("service"),
                address = SocketAddress("127.0.0.1", 1),
                zone = ZONES[index % REGION_COUNT],
                slots = SLOTS,
                draining = false,
                coldUntil = now - 60.seconds,
            )
        }
        pool.updateTargets(fleet, emptySet(), now)
        pool.updatePolicy(ServicePolicy(1_000, 3.seconds, 3.5), listOf("vm"))
        announce(SLOTS * OCCUPANCY_OF_OTHERS)
    }

    fun announce(slots: Double) = pool.updateAnnouncedSlots { slots }

    fun request(number: Int) = PlacementRequest(
        workloadClass = WorkloadClass(idempotent = true, priority = 1, latencyObjective = 400.milliseconds),
        startedAt = now,
        deadline = now + 2.seconds,
        affinityKey = "${number % OBJECTS}",
        homeRegions = emptySet(),
    )

    /** Sends one request, and ends an earlier one if [concurrent] are in flight. */
    fun offer(number: Int): Placement {
        now += 1.milliseconds
        if (inFlight.size >= concurrent) {
            pool.finish(inFlight.removeFirst(), TargetOutcome.Answered(failed = false, report = null), now)
        }
        val placement = pool.offer(request(number), now)
        if (placement is Placement.Send) inFlight.addLast(placement.inFlight)
        if (placement is Placement.Wait) pool.cancel(placement.ticket)
        return placement
    }

    /** Makes all targets full and lets [WAITING] requests wait. */
    fun fill() {
        announce(SLOTS * 2.0)
        repeat(WAITING) { pool.offer(request(it), now) }
    }

    fun dispatch() = pool.dispatchWaiting(now)
}

/** Cost of placing a request among [targets] targets, and of a look at the queue while all of them are full. */
internal fun placementRow(targets: Int): List<Double> {
    val load = PlacementLoad(targets)
    val offer = measureCost(OFFER_ROUNDS) { load.offer(it) }
    load.fill()
    val dispatch = measureCost(DISPATCH_ROUNDS) { load.dispatch() }
    return listOf(
        offer.nanoseconds / NANOSECONDS_PER_MICROSECOND,
        offer.allocatedBytes,
        dispatch.nanoseconds / NANOSECONDS_PER_MICROSECOND,
        dispatch.allocatedBytes,
    )
}
