package org.anvilshed.daemon.request

import org.anvilshed.core.RefusalReason
import org.anvilshed.core.RegionName
import org.anvilshed.core.RetryReason
import org.anvilshed.core.ServiceName
import org.anvilshed.core.UnknownReason
import org.anvilshed.core.VmIdentity
import org.anvilshed.core.routing.PeerRoute
import org.anvilshed.core.routing.RouteChooser
import org.anvilshed.core.routing.RouteDecision
import org.anvilshed.core.routing.RoutePlan
import org.anvilshed.core.routing.RouteRequest
import org.anvilshed.core.routing.TargetState
import org.anvilshed.daemon.DaemonClock
import org.anvilshed.daemon.limits.AcquiredTarget
import org.anvilshed.daemon.limits.LinkPacer
import org.anvilshed.daemon.limits.QueueOutcome
import org.anvilshed.daemon.limits.RouteDecisionLimits
import org.anvilshed.daemon.limits.ServiceQueues
import org.anvilshed.daemon.limits.ServiceRuntime
import org.anvilshed.daemon.limits.ServiceRuntimes
import org.anvilshed.daemon.limits.ShareLimits
import org.anvilshed.daemon.limits.SlotRelease
import org.anvilshed.daemon.remaining
import org.anvilshed.daemon.steering.SteeringReference
import org.anvilshed.daemon.toTimerMilliseconds
import org.anvilshed.wire.peer.PeerLink
import org.anvilshed.wire.peer.RequestMode
import org.anvilshed.wire.peer.RequestStart
import kotlin.random.Random
import kotlin.time.Duration

/** Largest number of new routes for a request whose target or peer stopped taking requests before the dispatch. */
private const val MAXIMUM_REROUTES = 5

/** Limits and state by which the route of a request is chosen. */
internal class RoutingState(
    val region: RegionName,
    val clock: DaemonClock,
    val steering: SteeringReference,
    val runtimes: ServiceRuntimes,
    val limits: ShareLimits,
    val release: SlotRelease,
)

/**
 * Runs requests that [RequestHandler] has checked: chooses a local target or a peer, waits for a free slot, and retries
 * attempts that did not run or may be repeated.
 */
internal class RequestDispatcher(
    private val routing: RoutingState,
    private val queues: ServiceQueues,
    private val targetContext: TargetAttemptContext,
    private val linkTo: (VmIdentity) -> PeerLink?,
    private val onRetry: (RetryReason) -> Unit,
) {
    private val clock = routing.clock

    /** Runs [request]; [permission] is acquired before anything is sent. */
    suspend fun serve(request: ResolvedRequest, permission: DispatchPermission, sink: ResponseSink): ServeResult {
        val runtime = routing.runtimes.getValue(request.service.name)
        val attempts = AttemptLoop(request, runtime, permission, sink)
        if (!request.isForwarded) runtime.retryBudget.recordFirstAttempt()
        try {
            return attempts.run()
        } finally {
            val isCounted = request.isForwarded || attempts.isMoved || request.enteredIn != routing.region
            if (!isCounted) runtime.shiftLimiter.recordServedInRegion(clock.now())
        }
    }

    private inner class AttemptLoop(
        private val request: ResolvedRequest,
        private val runtime: ServiceRuntime,
        private val permission: DispatchPermission,
        private val sink: ResponseSink,
    ) {
        private val service: ServiceName = request.service.name
        private var lastTarget: TargetState? = null
        private var lastPeer: PeerRoute? = null
        private var lostReason: UnknownReason? = null
        private var reroutes = 0

        /** Whether the request was sent to another region and counted against the shift cap. */
        var isMoved = false
            private set

        suspend fun run(): ServeResult {
            while (true) {
                val result = when (val attempt = attempt()) {
                    is AttemptResult.Ended -> attempt.result

                    is AttemptResult.NotSent ->
                        if (reroutes++ < MAXIMUM_REROUTES) null else ServeResult.NotRun(attempt.reason)

                    is AttemptResult.NotRun -> refusalUnlessRetried(attempt)

                    is AttemptResult.Lost -> {
                        lostReason = attempt.reason
                        val mayRepeat = request.kind.idempotent && refusalOfRetry(attempt.retry) == null
                        if (mayRepeat) null else ServeResult.Unknown(attempt.reason)
                    }
                }
                if (result != null) return result.orUnknownIfLost()
            }
        }

        /** If an earlier attempt was lost, the request may have run even if no later attempt did. */
        private fun ServeResult.orUnknownIfLost(): ServeResult =
            lostReason.let { if (this is ServeResult.NotRun && it != null) ServeResult.Unknown(it) else this }

        private fun refusalUnlessRetried(attempt: AttemptResult.NotRun): ServeResult? {
            if (request.isForwarded) return attempt.refusal
            return when (refusalOfRetry(attempt.retry)) {
                null -> null
                RefusalReason.RETRY_BUDGET -> ServeResult.NotRun(RefusalReason.RETRY_BUDGET, attempt.refusal.retryAfter)
                else -> attempt.refusal
            }
        }

        private fun refusalOfRetry(reason: RetryReason): RefusalReason? = when {
            request.isForwarded || !request.body.isReplayable -> RefusalReason.TARGET_SHED

            clock.remaining(request.deadline) == Duration.ZERO -> RefusalReason.DEADLINE_PASSED

            !runtime.retryBudget.tryRetry() -> RefusalReason.RETRY_BUDGET

            else -> {
                onRetry(reason)
                null
            }
        }

        private suspend fun attempt(): AttemptResult {
            if (clock.remaining(request.deadline) == Duration.ZERO) return notRun(RefusalReason.DEADLINE_PASSED)
            val plan = routing.steering.current?.plans?.get(service) ?: return notRun(RefusalReason.UNKNOWN_SERVICE)
            val limits = newDecisionLimits()
            return when (val decision = chooseRoute(plan, limits)) {
                is RouteDecision.LocalTarget ->
                    runOnTarget(AcquiredTarget(decision.target, checkNotNull(limits.slot), routing.release))

                is RouteDecision.Peer -> runOnPeer(decision)

                RouteDecision.Queue -> waitForSlot()

                is RouteDecision.Refuse -> refuseOrWait(decision.reason)
            }
        }

        private fun newDecisionLimits() =
            RouteDecisionLimits(routing.limits, runtime, clock, mayMove = request.enteredIn == routing.region)

        private fun chooseRoute(plan: RoutePlan, limits: RouteDecisionLimits): RouteDecision {
            val routeRequest = RouteRequest(
                now = clock.now(),
                wallNow = clock.wallNow(),
                random = Random,
                mayForward = !request.isForwarded,
                avoidTarget = lastTarget,
                avoidPeer = lastPeer,
            )
            return RouteChooser(limits.routeLimits).route(plan, routeRequest)
        }

        /** A forwarded request without a free slot waits on this VM, which the peer chose by a report of free slots. */
        private suspend fun refuseOrWait(reason: RefusalReason): AttemptResult =
            if (request.isForwarded && reason == RefusalReason.NO_SLOT) waitForSlot() else notRun(reason)

        private suspend fun waitForSlot(): AttemptResult {
            val serveImmediately = lastTarget == null
            return when (val outcome = queues.awaitSlot(service, request.kind, request.deadline, serveImmediately)) {
                is QueueOutcome.Granted -> runOnTarget(outcome.target)
                is QueueOutcome.Removed -> notRun(outcome.reason, outcome.retryAfter)
            }
        }

        private suspend fun runOnTarget(acquired: AcquiredTarget): AttemptResult {
            lastTarget = acquired.state
            lastPeer = null
            val usableShares = { routing.limits.usableSharesOf(acquired.state.zone) }
            return TargetAttempt(targetContext, request, acquired, usableShares, permission, sink).run()
        }

        private suspend fun runOnPeer(decision: RouteDecision.Peer): AttemptResult {
            if (decision.movedTo != null) isMoved = true
            val route = decision.peer
            lastPeer = route
            lastTarget = null
            try {
                val link = linkTo(route.vm) ?: return AttemptResult.NotSent(RefusalReason.PEER_UNREACHABLE)
                val pacer = LinkPacer(decision.movedTo?.let(routing.limits::linkLimiterTo), clock)
                val attempt =
                    PeerAttempt(link, clock, request.deadline, request.body, pacer, permission, sink, ::requestStart)
                val result = attempt.run()
                if (result is AttemptResult.NotRun) route.recordRefused(clock.now())
                return result
            } finally {
                route.end()
            }
        }

        private fun requestStart(stream: Long): RequestStart = RequestStart(
            stream = stream,
            service = service,
            kind = request.kind.name,
            method = request.method,
            path = request.path,
            headers = request.headers,
            deadlineMilliseconds = clock.remaining(request.deadline).toTimerMilliseconds(),
            requestIdentifier = request.identifier?.toString(),
            mode = RequestMode.EXECUTE,
        )
    }
}
