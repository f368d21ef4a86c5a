package org.anvilshed.standins

import io.vertx.core.Vertx
import io.vertx.core.http.HttpServer
import io.vertx.core.json.JsonObject
import io.vertx.core.net.NetClientOptions
import io.vertx.ext.web.Router
import io.vertx.ext.web.handler.BodyHandler
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray

/**
 * TCP relays between peer addresses with one control port (`POST /control` with [RelayControl], `GET /control`).
 * All of them run on one event loop: give it a [Vertx] with one.
 */
internal class NetworkRelay(private val vertx: Vertx, links: List<RelayLink>) {
    private val client = vertx.createNetClient(NetClientOptions().setTcpNoDelay(true))
    private val links = links.associate { it.name to RelayedLink(vertx, client, it) }

    /** Starts all relays and the control port on [host] and [controlPort] (0: chosen by the system). */
    suspend fun start(host: String, controlPort: Int): HttpServer {
        links.values.forEach { it.start() }
        val router = Router.router(vertx)
        router.route().handler(BodyHandler.create(false))
        router.post("/control").handler { context ->
            val change = Json.decodeFromString<RelayControl>(context.body().asString().orEmpty())
            (change.links ?: links.keys).forEach { links.getValue(it).change(change) }
            context.json(JsonObject())
        }
        router.get("/control").handler { context ->
            val counters = links.values.map { Json.encodeToJsonElement(RelayCounters.serializer(), it.counters()) }
            context.response().putHeader("Content-Type", "application/json").end(JsonArray(counters).toString())
        }
        return vertx.createHttpServer().requestHandler(router).listen(controlPort, host).coAwait()
    }
}
