package org.anvilshed.daemon

import io.vertx.core.Vertx
import org.anvilshed.core.ServiceName
import org.anvilshed.core.execution.ExecutionLimits
import org.anvilshed.core.execution.ExecutionRecords
import org.anvilshed.core.execution.IdentifierWindows
import org.anvilshed.core.lifecycle.DrainState
import org.anvilshed.core.routing.PeerRouteRegistry
import org.anvilshed.core.routing.RouteChooser
import org.anvilshed.core.routing.RouteDecision
import org.anvilshed.core.routing.RouteRequest
import org.anvilshed.core.routing.TargetRegistry
import org.anvilshed.core.seats.UsableShares
import org.anvilshed.daemon.limits.AcquiredTarget
import org.anvilshed.daemon.limits.RouteDecisionLimits
import org.anvilshed.daemon.limits.ServiceQueues
import org.anvilshed.daemon.limits.ServiceRuntimes
import org.anvilshed.daemon.limits.ShareLimits
import org.anvilshed.daemon.limits.SlotRelease
import org.anvilshed.daemon.metrics.DaemonMetrics
import org.anvilshed.daemon.request.RECORDED_ANSWER_BYTES
import org.anvilshed.daemon.request.RequestRate
import org.anvilshed.daemon.request.RoutingState
import org.anvilshed.daemon.seats.ShareControl
import org.anvilshed.daemon.settings.Settings
import org.anvilshed.daemon.steering.LocalVm
import org.anvilshed.daemon.steering.SteeringReference
import kotlin.random.Random

/** State that the request path and the control thread both use. */
internal class SharedState(
    val settings: Settings,
    val clock: DaemonClock,
    val vertx: Vertx,
    val local: LocalVm,
    val metrics: DaemonMetrics,
) {
    /** Shares of this process; set during the start, before the first bundle. Until then no share may be used. */
    @Volatile
    var shares: ShareControl? = null

    val drain = DrainState(local.name, settings.limits.drainLimit)
    val windows = IdentifierWindows(start = clock.now())
    val records = ExecutionRecords(
        local.identity,
        windows,
        ExecutionLimits(settings.limits.records, RECORDED_ANSWER_BYTES, settings.limits.recordBytes),
    )
    val steering = SteeringReference()
    val targets = TargetRegistry()
    val peerRoutes = PeerRouteRegistry()
    val runtimes = ServiceRuntimes(settings.limits.queue)
    val limits = ShareLimits(
        ownRegion = local.region,
        zoneShares = { zone -> { shares?.usableSharesOf(zone) ?: UsableShares.NONE } },
        regionShares = { shares?.usableSharesOfRegion() ?: UsableShares.NONE },
    )
    val queues: ServiceQueues = ServiceQueues(runtimes, clock, ::takeTarget)
    val release = SlotRelease(vertx, clock) { service -> queues.serveNext(service) }
    val routing = RoutingState(local.region, clock, steering, runtimes, limits, release)
    val rate = RequestRate(clock)

    /** Takes a free slot of a target of [service] in the own zone for a waiting request. */
    private fun takeTarget(service: ServiceName): AcquiredTarget? {
        val plan = steering.current?.plans?.get(service) ?: return null
        val attempt = RouteDecisionLimits(limits, runtimes.getValue(service), clock, mayMove = false)
        val routeRequest = RouteRequest(clock.now(), clock.wallNow(), Random, mayForward = false)
        val decision = RouteChooser(attempt.routeLimits).route(plan, routeRequest)
        if (decision !is RouteDecision.LocalTarget) return null
        return AcquiredTarget(decision.target, checkNotNull(attempt.slot), release)
    }
}
