package org.anvilshed.daemon

import io.vertx.core.Context
import io.vertx.core.http.HttpClient
import kotlinx.coroutines.CoroutineScope
import org.anvilshed.daemon.http.CallerRoutes
import org.anvilshed.daemon.http.EntryRoute
import org.anvilshed.daemon.http.ServiceRoute
import org.anvilshed.daemon.peers.PeerLinks
import org.anvilshed.daemon.request.OwnedRequestRunner
import org.anvilshed.daemon.request.OwnerForwarder
import org.anvilshed.daemon.request.PeerRequestHandler
import org.anvilshed.daemon.request.RequestDispatcher
import org.anvilshed.daemon.request.RequestHandler
import org.anvilshed.daemon.request.RequestResolver
import org.anvilshed.daemon.request.TargetAttemptContext

/**
 * Creates and connects the components that serve requests.
 *
 * @param workers scope of requests, also of those that continue to run after their callers have gone away.
 * @param contexts contexts of the event loops for requests of peers.
 */
internal class DataPlane(
    shared: SharedState,
    client: HttpClient,
    links: PeerLinks,
    workers: CoroutineScope,
    contexts: List<Context>,
) {
    private val targetContext =
        TargetAttemptContext(client, shared.clock, contexts.first().owner()) { request, duration ->
            shared.runtimes.getValue(request.service.name).queue.recordServed(duration)
        }
    private val dispatcher =
        RequestDispatcher(shared.routing, shared.queues, targetContext, links::linkTo, shared.metrics::recordRetry)
    private val resolver =
        RequestResolver(shared.local.region, shared.settings.limits.maximumBodyBytes) {
            shared.steering.current?.bundle
        }
    private val requests = RequestHandler(
        resolver = resolver,
        records = shared.records,
        ownedRequestRunner = OwnedRequestRunner(dispatcher, shared.clock, workers),
        ownerForwarder = OwnerForwarder(shared.routing, resolver, links, shared.settings.limits.maximumBodyBytes),
        dispatcher = dispatcher,
        clock = shared.clock,
        acceptsNewRequests = shared.drain::acceptsNewRequests,
    )

    /** Handlers of requests of callers. */
    val routes = CallerRoutes(
        ServiceRoute(shared, requests, workers),
        EntryRoute(shared.local, shared.steering, shared.drain, shared.clock, shared.metrics),
    )

    /** Handler of requests of peers. */
    val peerRequestHandler =
        PeerRequestHandler(shared.local.name, shared.routing, requests, shared.drain, shared.metrics, workers, contexts)
}
