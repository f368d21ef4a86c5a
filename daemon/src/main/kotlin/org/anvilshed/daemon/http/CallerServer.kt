package org.anvilshed.daemon.http

import io.vertx.core.Context
import io.vertx.core.Deployable
import io.vertx.core.DeploymentOptions
import io.vertx.core.Future
import io.vertx.core.Vertx
import io.vertx.core.http.HttpServer
import io.vertx.core.http.HttpServerOptions
import io.vertx.ext.web.Router
import io.vertx.ext.web.RoutingContext
import io.vertx.kotlin.coroutines.coAwait
import org.anvilshed.core.RefusalReason
import org.anvilshed.daemon.settings.SocketAddress
import java.util.concurrent.CopyOnWriteArrayList
import java.util.function.Supplier

/** Largest size of the headers of a request in bytes. */
private const val MAXIMUM_HEADER_BYTES = 16 * 1024

private const val STATUS_UNAVAILABLE = 503

/** Handlers of the two paths that callers use. */
internal class CallerRoutes(val services: ServiceRoute, val entry: EntryRoute)

/** HTTP server for callers, which runs on several event loops. */
internal class CallerServer(private val vertx: Vertx) {
    private val servers = CopyOnWriteArrayList<HttpServer>()

    /** Handlers of requests; `null` while the process starts, when requests are refused. */
    @Volatile
    var routes: CallerRoutes? = null

    private val loops = CopyOnWriteArrayList<Context>()

    /** Contexts of the event loops; empty before [prepare]. */
    val contexts: List<Context> get() = loops

    /** Acquires [count] event loops, so that [contexts] can be used before the first caller is served. */
    suspend fun prepare(count: Int) {
        val deploy = Supplier<Deployable> {
            Deployable { context ->
                loops += context
                Future.succeededFuture<Any>()
            }
        }
        vertx.deployVerticle(deploy, DeploymentOptions().setInstances(count)).coAwait()
    }

    /** Listens at [address] and returns the port. Requests are refused until [routes] is set. */
    suspend fun start(address: SocketAddress): Int {
        // With a negative port, Vert.x lets all event loops share one port that the system chooses.
        val port = if (address.port == 0) -1 else address.port
        for (context in loops) {
            val started = io.vertx.core.Promise.promise<HttpServer>()
            context.runOnContext {
                val options = HttpServerOptions()
                    .setTcpNoDelay(true)
                    .setHandle100ContinueAutomatically(true)
                    .setMaxHeaderSize(MAXIMUM_HEADER_BYTES)
                val router = Router.router(vertx)
                router.get("/v1/entry").handler { context -> routesOrRefuse(context)?.entry?.handle(context) }
                router.route("$SERVICES_PREFIX*").handler { context ->
                    routesOrRefuse(context)?.services?.handle(context)
                }
                vertx.createHttpServer(options).requestHandler(router).listen(port, address.host).onComplete(started)
            }
            servers += started.future().coAwait()
        }
        return servers.first().actualPort()
    }

    private fun routesOrRefuse(context: RoutingContext): CallerRoutes? {
        if (routes == null) {
            context.response().setStatusCode(STATUS_UNAVAILABLE)
                .putHeader("Anvilshed-Outcome", "not-run")
                .putHeader("Anvilshed-Reason", RefusalReason.NO_BUNDLE.label)
                .end()
        }
        return routes
    }

    /** Closes the port and all connections of callers. */
    suspend fun stop() {
        servers.forEach { it.close().coAwait() }
    }
}
