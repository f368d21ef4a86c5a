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
import org.anvilshed.daemon.limits.AttemptLimits
import org.anvilshed.daemon.limits.LinkPacer
import org.anvilshed.daemon.limits.QueueOutcome
import org.anvilshed.daemon.limits.SeatLimits
import org.anvilshed.daemon.limits.ServiceRuntime
import org.anvilshed.daemon.limits.ServiceRuntimes
import org.anvilshed.daemon.limits.SlotRelease
import org.anvilshed.daemon.limits.WaitingRequests
import org.anvilshed.daemon.remaining
import org.anvilshed.daemon.steering.SteeringReference
import org.anvilshed.daemon.toTimerMilliseconds
import org.anvilshed.wire.peer.PeerLink
import org.anvilshed.wire.peer.RequestMode
import org.anvilshed.wire.peer.RequestStart
import kotlin.random.Random
import kotlin.time.Duration

/** Largest number of places that stopped taking requests between their choice and the dispatch, before giving up. */
private const val MAXIMUM_REROUTES = 5

/** Limits and state that decide where requests run. */
internal class RoutingState(
    val region: RegionName,
    val clock: DaemonClock,
    val steering: SteeringReference,
    val runtimes: ServiceRuntimes,
    val limits: SeatLimits,
    val release: SlotRelease,
)

/** Runs requests: chooses a place, waits for a slot, and repeats attempts that did not run or may be repeated. */
internal class Dispatcher(
    private val routing: RoutingState,
    private val waiting: WaitingRequests,
    private val access: TargetAccess,
    private val linkTo: (VmIdentity) -> PeerLink?,
    private val onRetry: (RetryReason) -> Unit,
) {
    private val clock = routing.clock

    /** Runs [request]; [gate] is opened before anything is sent. */
    suspend fun serve(request: ServiceRequest, gate: DispatchGate, sink: ResponseSink): ServeResult {
        val runtime = routing.runtimes.getValue(request.service.name)
        val run = Run(request, runtime, gate, sink)
        if (!request.isForwarded) runtime.retryBudget.recordFirstAttempt()
        try {
            return run.serve()
        } finally {
            val isCounted = request.isForwarded || run.moved || request.enteredIn != routing.region
            if (!isCounted) runtime.shiftLimiter.recordServedInRegion(clock.now())
        }
    }

    private inner class Run(
        private val request: ServiceRequest,
        private val runtime: ServiceRuntime,
        private val gate: DispatchGate,
        private val sink: ResponseSink,
    ) {
        private val service: ServiceName = request.service.name
        private var lastTarget: TargetState? = null
        private var lastPeer: PeerRoute? = null
        private var lostBy: UnknownReason? = null
        private var reroutes = 0

        /** Whether the request was counted as moved to another region. */
        var moved = false
            private set

        suspend fun serve(): ServeResult {
            while (true) {
                val result = when (val attempt = attempt()) {
                    is AttemptResult.Ended -> attempt.result

                    is AttemptResult.NotSent ->
                        if (reroutes++ < MAXIMUM_REROUTES) null else ServeResult.NotRun(attempt.reason)

                    is AttemptResult.NotRun -> refusalUnlessRetried(attempt)

                    is AttemptResult.Lost -> {
                        lostBy = attempt.reason
                        val mayRepeat = request.kind.idempotent && refusalOfRetry(attempt.retry) == null
                        if (mayRepeat) null else ServeResult.Unknown(attempt.reason)
                    }
                }
                if (result != null) return result.orUnknownIfLost()
            }
        }

        /** An earlier attempt that was lost may have run, whatever happened to the later ones. */
        private fun ServeResult.orUnknownIfLost(): ServeResult =
            lostBy.let { if (this is ServeResult.NotRun && it != null) ServeResult.Unknown(it) else this }

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
            val limits = newLimits()
            return when (val decision = chooseRoute(plan, limits)) {
                is RouteDecision.LocalTarget ->
                    runOnTarget(AcquiredTarget(decision.target, checkNotNull(limits.slot), routing.release))

                is RouteDecision.Peer -> runOnPeer(decision)

                RouteDecision.Queue -> waitForSlot()

                is RouteDecision.Refuse -> refuseOrWait(decision.reason)
            }
        }

        private fun newLimits() =
            AttemptLimits(routing.limits, runtime, clock, mayMove = request.enteredIn == routing.region)

        private fun chooseRoute(plan: RoutePlan, limits: AttemptLimits): RouteDecision {
            val question = RouteRequest(
                now = clock.now(),
                wallNow = clock.wallNow(),
                random = Random,
                mayForward = !request.isForwarded,
                avoidTarget = lastTarget,
                avoidPeer = lastPeer,
            )
            return RouteChooser(limits.routeLimits).route(plan, question)
        }

        /** A forwarded request that found no free slot waits here, since its sender relied on a report of this VM. */
        private suspend fun refuseOrWait(reason: RefusalReason): AttemptResult =
            if (request.isForwarded && reason == RefusalReason.NO_SLOT) waitForSlot() else notRun(reason)

        private suspend fun waitForSlot(): AttemptResult {
            val serveAtOnce = lastTarget == null
            return when (val outcome = waiting.wait(service, request.kind, request.deadline, serveAtOnce)) {
                is QueueOutcome.Granted -> runOnTarget(outcome.place)
                is QueueOutcome.Removed -> notRun(outcome.reason, outcome.retryAfter)
            }
        }

        private suspend fun runOnTarget(place: AcquiredTarget): AttemptResult {
            lastTarget = place.state
            lastPeer = null
            val seats = { routing.limits.rightsOf(place.state.zone) }
            return TargetAttempt(access, request, place, seats, gate, sink).run()
        }

        private suspend fun runOnPeer(decision: RouteDecision.Peer): AttemptResult {
            if (decision.movedTo != null) moved = true
            val route = decision.peer
            lastPeer = route
            lastTarget = null
            try {
                val link = linkTo(route.vm) ?: return AttemptResult.NotSent(RefusalReason.PEER_UNREACHABLE)
                val pacer = LinkPacer(decision.movedTo?.let(routing.limits::linkTo), clock)
                val attempt = PeerAttempt(link, clock, request.deadline, request.body, pacer, gate, sink, ::startFor)
                val result = attempt.run()
                if (result is AttemptResult.NotRun) route.recordRefused(clock.now())
                return result
            } finally {
                route.end()
            }
        }

        private fun startFor(stream: Long): RequestStart = RequestStart(
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
