package org.anvilshed.daemon

import io.vertx.core.Context
import io.vertx.core.http.HttpClient
import kotlinx.coroutines.CoroutineScope
import org.anvilshed.daemon.http.CallerRoutes
import org.anvilshed.daemon.http.EntryRoute
import org.anvilshed.daemon.http.ServiceRoute
import org.anvilshed.daemon.peers.PeerLinks
import org.anvilshed.daemon.request.Dispatcher
import org.anvilshed.daemon.request.OwnedRequests
import org.anvilshed.daemon.request.OwnerForwarder
import org.anvilshed.daemon.request.PeerRequests
import org.anvilshed.daemon.request.RequestResolver
import org.anvilshed.daemon.request.RequestService
import org.anvilshed.daemon.request.TargetAccess

/**
 * Wiring of the request path.
 *
 * @param workers scope of requests and of the work that goes on without their callers.
 * @param contexts event loops for the requests of peers.
 */
internal class RequestPlane(
    shared: SharedState,
    client: HttpClient,
    links: PeerLinks,
    workers: CoroutineScope,
    contexts: List<Context>,
) {
    private val access = TargetAccess(client, shared.clock, contexts.first().owner()) { request, duration ->
        shared.runtimes.getValue(request.service.name).queue.recordServed(duration)
    }
    private val dispatcher =
        Dispatcher(shared.routing, shared.waiting, access, links::linkTo, shared.metrics::recordRetry)
    private val resolver =
        RequestResolver(shared.local.region, shared.settings.limits.maximumBodyBytes) {
            shared.steering.current?.bundle
        }
    private val service = RequestService(
        resolver = resolver,
        records = shared.records,
        owned = OwnedRequests(dispatcher, shared.clock, workers),
        owners = OwnerForwarder(shared.routing, resolver, links, shared.settings.limits.maximumBodyBytes),
        dispatcher = dispatcher,
        clock = shared.clock,
        acceptsNewRequests = shared.drain::acceptsNewRequests,
    )

    /** Requests of callers. */
    val routes = CallerRoutes(
        ServiceRoute(shared, service, workers),
        EntryRoute(shared.local, shared.steering, shared.drain, shared.clock, shared.metrics),
    )

    /** Requests of peers. */
    val peerRequests =
        PeerRequests(shared.local.name, shared.routing, service, shared.drain, shared.metrics, workers, contexts)
}
