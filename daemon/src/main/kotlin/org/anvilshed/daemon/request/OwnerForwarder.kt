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

/** Time to wait for the owner if the caller's deadline is malformed or the kind and its default are unknown. */
private val WAIT_WITHOUT_DEADLINE = 5.seconds

/**
 * Forwards non-idempotent requests to the owners of their identifiers. Only the owner may state that such a request did
 * not run; without an answer of the owner the outcome is unknown.
 */
internal class OwnerForwarder(
    private val routing: RoutingState,
    private val resolver: RequestResolver,
    private val links: PeerLinks,
    private val maximumBodyBytes: Long,
) {
    private val clock = routing.clock

    /** Forwards [incoming], which a caller sent to this VM, to the owner of [identifier]. */
    suspend fun forward(incoming: IncomingRequest, identifier: RequestIdentifier, sink: ResponseSink): ServeResult {
        // A service or kind with an invalid name cannot exist, so the request cannot have run anywhere.
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
            if (!links.isNeighborLink(link)) link.close()
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
        val permission = RefusalTrackingPermission(RepeatableDispatchPermission(clock))
        val pacer = LinkPacer(routing.linkLimiterOutOfRegion(region), clock)
        val attempt = PeerAttempt(link, clock, deadline, body, pacer, permission, sink) { stream ->
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
            resultOf(attempt.run(), permission)
        } finally {
            body.close()
        }
    }

    /** A request whose owner is in another region runs there, and then counts against the shift cap of this region. */
    private fun isMoveAllowed(service: ServiceName): Boolean =
        routing.runtimes.getOrNull(service)?.shiftLimiter?.tryMove(clock.now()) == true

    private fun resultOf(attempt: AttemptResult, permission: RefusalTrackingPermission): ServeResult = when (attempt) {
        is AttemptResult.Ended -> {
            val isLocalRefusal = attempt.result is ServeResult.NotRun && !permission.ownerRefused
            if (isLocalRefusal) ServeResult.Unknown(UnknownReason.OWNER_UNREACHABLE) else attempt.result
        }

        is AttemptResult.NotRun -> attempt.refusal

        is AttemptResult.NotSent -> ServeResult.Unknown(UnknownReason.OWNER_UNREACHABLE)

        is AttemptResult.Lost -> ServeResult.Unknown(attempt.reason)
    }
}

/** Records whether the owner, and not this VM, refused the request. */
private class RefusalTrackingPermission(private val permission: DispatchPermission) : DispatchPermission by permission {
    var ownerRefused = false
        private set

    override fun recordNotRun() {
        ownerRefused = true
    }
}

/** Returns the limiter of the link from the region of this VM to [region], or `null` if both are the same region. */
internal fun RoutingState.linkLimiterOutOfRegion(region: RegionName) =
    if (region == this.region) null else limits.linkLimiterTo(region)
