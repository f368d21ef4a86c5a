package org.anvilshed.standins

import io.vertx.core.Vertx
import io.vertx.core.http.HttpServer
import io.vertx.core.json.JsonObject
import io.vertx.ext.web.Router
import io.vertx.ext.web.handler.BodyHandler
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import java.util.concurrent.ConcurrentHashMap

/**
 * Stand-ins of many targets in one process with one control port.
 *
 * The control port serves `POST /control` ([TargetControl]), `GET /control` ([TargetCounters] of all targets) and
 * `GET /executions` (number of executions by `Request-Id`).
 *
 * @param vertx must have exactly one event loop, since the state of the targets is not synchronized.
 */
internal class TargetStandIns(private val vertx: Vertx, specs: List<TargetSpec>) {
    private val executions = ConcurrentHashMap<String, Int>()
    private val targets = specs.associate { it.name to TargetStandIn(vertx, it, executions) }

    /** Ports by target name, known after [start]. */
    val ports: Map<String, Int> get() = targets.mapValues { it.value.port }

    /** Starts all targets and the control server on [host] and [controlPort]; if it is 0, the system chooses a port. */
    suspend fun start(host: String, controlPort: Int): HttpServer {
        targets.values.forEach { it.start() }
        val router = Router.router(vertx)
        router.route().handler(BodyHandler.create(false))
        router.post("/control").handler { context ->
            val change = Json.decodeFromString<TargetControl>(context.body().asString().orEmpty())
            (change.targets ?: targets.keys).forEach { targets.getValue(it).change(change) }
            context.json(JsonObject())
        }
        router.get("/control").handler { context ->
            val counters = targets.values.map { Json.encodeToJsonElement(TargetCounters.serializer(), it.counters()) }
            context.response().putHeader("Content-Type", "application/json").end(JsonArray(counters).toString())
        }
        router.get("/executions").handler { context -> context.json(JsonObject(executions.toMap())) }
        return vertx.createHttpServer().requestHandler(router).listen(controlPort, host).coAwait()
    }
}
