package org.anvilshed.daemon.request

import kotlinx.coroutines.CoroutineScope
import org.anvilshed.core.KindName
import org.anvilshed.core.MonotonicTime
import org.anvilshed.core.RefusalReason
import org.anvilshed.core.RegionName
import org.anvilshed.core.ServiceName
import org.anvilshed.core.bundle.Bundle
import org.anvilshed.core.bundle.RequestKind
import org.anvilshed.core.bundle.Service
import org.anvilshed.core.execution.RequestIdentifier
import org.anvilshed.core.isValidName
import org.anvilshed.wire.peer.RequestMode
import kotlin.time.Duration.Companion.milliseconds

/** Result of [RequestResolver.resolve]. */
internal sealed interface Resolution {
    data class Resolved(val request: ResolvedRequest) : Resolution

    data class Refused(val reason: RefusalReason) : Resolution
}

/** Checks requests against the bundle in force and finds their services and kinds in it. */
internal class RequestResolver(
    private val ownRegion: RegionName,
    private val maximumBodyBytes: Long,
    private val bundle: () -> Bundle?,
) {
    /** Returns the kind of [incoming], or `null` if the bundle does not list the kind or its service. */
    fun kindOrNull(incoming: IncomingRequest): RequestKind? = serviceOrNull(incoming)?.let { kindOf(it, incoming) }

    /** Returns the service of [incoming], or `null` if the bundle does not list the service. */
    fun serviceOrNull(incoming: IncomingRequest): Service? =
        incoming.service.takeIf(::isValidName)?.let { bundle()?.services?.get(ServiceName(it)) }

    /**
     * Returns the deadline of [incoming]: the stated one, otherwise the default of its kind, at most the maximum of the
     * kind. Returns the time of arrival if no deadline is stated and the kind is unknown.
     *
     * A duplicate waits until this time for the result of the first arrival.
     */
    fun deadlineOf(incoming: IncomingRequest): MonotonicTime {
        val kind = kindOrNull(incoming)
        val stated = incoming.deadlineMilliseconds?.milliseconds
        val limit = kind?.maximumDeadline ?: stated
        val duration = stated ?: kind?.deadline ?: return incoming.arrivedAt
        return incoming.arrivedAt + minOf(duration, limit ?: duration)
    }

    /** Checks [incoming]; its body is read in [scope]. */
    fun resolve(incoming: IncomingRequest, identifier: RequestIdentifier?, scope: CoroutineScope): Resolution {
        if (bundle() == null) return Resolution.Refused(RefusalReason.NO_BUNDLE)
        val service = serviceOrNull(incoming) ?: return Resolution.Refused(RefusalReason.UNKNOWN_SERVICE)
        val kind = kindOf(service, incoming) ?: return Resolution.Refused(RefusalReason.UNKNOWN_KIND)
        val stated = incoming.deadlineMilliseconds
        if (stated != null && stated !in 1..kind.maximumDeadline.inWholeMilliseconds) {
            return Resolution.Refused(RefusalReason.MALFORMED)
        }
        val limit = minOf(service.maximumBodyBytes, maximumBodyBytes)
        if ((incoming.declaredLength ?: 0) > limit) return Resolution.Refused(RefusalReason.BODY_TOO_LARGE)
        return Resolution.Resolved(
            ResolvedRequest(
                service = service,
                kind = kind,
                method = incoming.method,
                path = incoming.path,
                headers = incoming.headers,
                deadline = deadlineOf(incoming),
                identifier = identifier,
                body = RequestBody(scope, limit, incoming.body),
                isForwarded = incoming.peer?.mode == RequestMode.EXECUTE,
                enteredIn = incoming.peer?.region ?: ownRegion,
            ),
        )
    }

    private fun kindOf(service: Service, incoming: IncomingRequest): RequestKind? {
        val name = incoming.kind ?: return service.kinds.values.firstOrNull()
        return name.takeIf(::isValidName)?.let { service.kinds[KindName(it)] }
    }
}
