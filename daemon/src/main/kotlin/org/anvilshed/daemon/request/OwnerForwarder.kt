package org.anvilshed.daemon.request

import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.withTimeoutOrNull
import org.anvilshed.core.KindName
import org.anvilshed.core.MonotonicTime
import org.anvilshed.core.RefusalReason
import org.anvilshed.core.RegionName
import org.anvilshed.core.ServiceName
import org.anvilshed.core.UnknownReason
import org.anvilshed.core.VmIdentity
import org.anvilshed.core.execution.RequestIdentifier
import org.anvilshed.core.isValidName
import org.anvilshed.daemon.limits.LinkPacer
import org.anvilshed.daemon.peers.PeerLinks
import org.anvilshed.daemon.remaining
import org.anvilshed.daemon.toTimerMilliseconds
import org.anvilshed.wire.peer.PeerLink
import org.anvilshed.wire.peer.RequestMode
import org.anvilshed.wire.peer.RequestStart
import kotlin.time.Duration.Companion.seconds

/** Time for the owner's answer when the caller's deadline is malformed, or not known since the kind is not. */
private val WAIT_WITHOUT_DEADLINE = 5.seconds

/**
 * Forwards non-idempotent requests to the owners of their identifiers. Only an owner may say that such a request did
 * not run; without its answer the outcome is unknown.
 */
internal class OwnerForwarder(
    private val routing: RoutingState,
    private val resolver: RequestResolver,
    private val links: PeerLinks,
    private val maximumBodyBytes: Long,
) {
    private val clock = routing.clock

    /** Forwards [incoming], which came from a caller, to the owner of [identifier]. */
    suspend fun forward(incoming: IncomingRequest, identifier: RequestIdentifier, sink: ResponseSink): ServeResult {
        // No request of such a service or kind can have run anywhere.
        if (!isValidName(incoming.service)) return ServeResult.NotRun(RefusalReason.UNKNOWN_SERVICE)
        if (incoming.kind?.let(::isValidName) == false) return ServeResult.NotRun(RefusalReason.UNKNOWN_KIND)
        val owner = identifier.owner
        val deadline = deadlineOf(incoming)
        val link = links.linkTo(owner)
            ?: withTimeoutOrNull(clock.remaining(deadline)) { links.connectTo(owner.name) }
            ?: return ServeResult.Unknown(reasonWithoutLink(owner))
        try {
            if (link.remote.vm != owner) return ServeResult.Unknown(UnknownReason.OWNER_REPLACED)
            return send(incoming, identifier, link, deadline, sink)
        } finally {
            if (!links.isKept(link)) link.close()
        }
    }

    private fun reasonWithoutLink(owner: VmIdentity): UnknownReason {
        val newest = links.newestProcessOf(owner.name)
        return if (newest == null || newest == owner) UnknownReason.OWNER_UNREACHABLE else UnknownReason.OWNER_REPLACED
    }

    private fun deadlineOf(incoming: IncomingRequest): MonotonicTime {
        val deadline = resolver.deadlineOf(incoming)
        return if (deadline > incoming.arrivedAt) deadline else incoming.arrivedAt + WAIT_WITHOUT_DEADLINE
    }

    private suspend fun send(
        incoming: IncomingRequest,
        identifier: RequestIdentifier,
        link: PeerLink,
        deadline: MonotonicTime,
        sink: ResponseSink,
    ): ServeResult = coroutineScope {
        val service = ServiceName(incoming.service)
        val region = link.remote.region
        val mayRun = region == routing.region || isMoveAllowed(service)
        val body =
            RequestBody(this, resolver.serviceOrNull(incoming)?.maximumBodyBytes ?: maximumBodyBytes, incoming.body)
        val gate = OwnerGate(PlainGate(clock))
        val pacer = LinkPacer(routing.linkOutOfRegion(region), clock)
        val attempt = PeerAttempt(link, clock, deadline, body, pacer, gate, sink) { stream ->
            RequestStart(
                stream = stream,
                service = service,
                kind = incoming.kind?.let(::KindName),
                method = incoming.method,
                path = incoming.path,
                headers = incoming.headers,
                deadlineMilliseconds = incoming.deadlineMilliseconds?.let { stated ->
                    if (stated <= 0) 0 else clock.remaining(deadline).toTimerMilliseconds()
                },
                requestIdentifier = identifier.toString(),
                mode = RequestMode.OWNER,
                mayRun = mayRun,
            )
        }
        try {
            resultOf(attempt.run(), gate)
        } finally {
            body.close()
        }
    }

    /** The owner may be in another region, where the request would run outside of the region in which it entered. */
    private fun isMoveAllowed(service: ServiceName): Boolean =
        routing.runtimes.getOrNull(service)?.shiftLimiter?.tryMove(clock.now()) == true

    private fun resultOf(attempt: AttemptResult, gate: OwnerGate): ServeResult = when (attempt) {
        is AttemptResult.Ended -> {
            val isOwnRefusal = attempt.result is ServeResult.NotRun && !gate.ownerRefused
            if (isOwnRefusal) ServeResult.Unknown(UnknownReason.OWNER_UNREACHABLE) else attempt.result
        }

        is AttemptResult.NotRun -> attempt.refusal

        is AttemptResult.NotSent -> ServeResult.Unknown(UnknownReason.OWNER_UNREACHABLE)

        is AttemptResult.Lost -> ServeResult.Unknown(attempt.reason)
    }
}

/** Remembers whether the owner itself has refused the request. */
private class OwnerGate(private val gate: DispatchGate) : DispatchGate by gate {
    var ownerRefused = false
        private set

    override fun returned() {
        ownerRefused = true
    }
}

/** Returns the limiter of the link from this VM's region to [region], or `null` if it is the same region. */
internal fun RoutingState.linkOutOfRegion(region: RegionName) = if (region ==
    this.region
) {
    null
} else {
    limits.linkTo(region)
}
