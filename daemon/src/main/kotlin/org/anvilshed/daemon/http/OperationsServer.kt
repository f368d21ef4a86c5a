package org.anvilshed.daemon.http

import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpServer
import io.vertx.ext.web.Router
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.serialization.json.Json
import org.anvilshed.daemon.metrics.DaemonMetrics
import org.anvilshed.daemon.settings.SocketAddress

private const val STATUS_UNAVAILABLE = 503

/** HTTP server for operators and their monitoring: `/live`, `/ready`, `/metrics` and `/v1/status`. */
internal class OperationsServer(
    private val vertx: Vertx,
    private val metrics: DaemonMetrics,
    private val status: () -> StatusReport,
    private val isReady: () -> Boolean,
) {
    private var server: HttpServer? = null

    /** Listens at [address] and returns the port. */
    suspend fun start(address: SocketAddress): Int {
        val router = Router.router(vertx)
        router.get("/live").handler { it.response().end("live\n") }
        router.get("/ready").handler { context ->
            val ready = isReady()
            if (!ready) context.response().statusCode = STATUS_UNAVAILABLE
            context.response().end(if (ready) "ready\n" else "not ready\n")
        }
        router.get("/metrics").handler { context ->
            context.response()
                .putHeader("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
                .end(Buffer.buffer(metrics.toText()))
        }
        router.get("/v1/status").handler { context ->
            context.response()
                .putHeader("Content-Type", "application/json")
                .end(Json.encodeToString(StatusReport.serializer(), status()))
        }
        val started = vertx.createHttpServer().requestHandler(router).listen(address.port, address.host).coAwait()
        server = started
        return started.actualPort()
    }

    /** Closes the port. */
    suspend fun stop() {
        server?.close()?.coAwait()
    }
}
