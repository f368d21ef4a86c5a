package org.anvilshed.core.placement

import org.anvilshed.core.MonotonicTime
import org.anvilshed.core.RegionName
import org.anvilshed.core.ServiceName
import org.anvilshed.core.SocketAddress
import org.anvilshed.core.ZoneName
import org.anvilshed.core.fleet.RegisteredTarget
import org.anvilshed.core.fleet.TargetKey
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Present time of most tests. */
internal val START = MonotonicTime(1_000_000_000_000)

internal val LOCAL_ZONE = ZoneName("local")
internal val REMOTE_ZONE = ZoneName("remote")

/** Settings of a VM in [LOCAL_ZONE], with the bounds of the users' platform. */
internal val SETTINGS = PlacementSettings(
    zone = LOCAL_ZONE,
    regions = mapOf(LOCAL_ZONE to RegionName("home"), REMOTE_ZONE to RegionName("away")),
    retryRatio = 0.2,
    retryWindow = 10.seconds,
    retrySlack = 10.0,
    coldOvershoot = 1.5,
    coldSlack = 5.0,
    maximumShift = 0.15,
)

internal fun target(
    name: String,
    zone: ZoneName = LOCAL_ZONE,
    slots: Int = 2,
    coldUntil: MonotonicTime = START - 60.seconds,
) = RegisteredTarget(
    key = TargetKey(name, 1),
    service = ServiceName("service"),
    address = SocketAddress("127.0.0.1", 80),
    zone = zone,
    slots = slots,
    draining = false,
    coldUntil = coldUntil,
)

internal fun request(
    now: MonotonicTime,
    priority: Int = 1,
    latencyObjective: Duration = 300.milliseconds,
    deadline: Duration = 1.seconds,
    key: String? = null,
) = PlacementRequest(
    workloadClass = WorkloadClass(idempotent = true, priority = priority, latencyObjective = latencyObjective),
    startedAt = now,
    deadline = now + deadline,
    affinityKey = key,
    homeRegions = emptySet(),
)
