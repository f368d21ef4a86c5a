package org.anvilshed.daemon.testbed

import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpServer
import io.vertx.core.json.JsonArray
import io.vertx.core.json.JsonObject
import io.vertx.ext.web.Router
import io.vertx.ext.web.RoutingContext
import io.vertx.ext.web.handler.BodyHandler
import io.vertx.kotlin.coroutines.coAwait
import java.util.concurrent.ConcurrentSkipListMap
import java.util.concurrent.atomic.AtomicLong

private class StoredObject(val version: Long, val body: ByteArray, val revision: Long)

/** Object API of the platform (section 7 of the design) on loopback, with simulated outages. Runs on one event loop. */
internal class FakePlatform(private val vertx: Vertx) {
    private val objects = ConcurrentSkipListMap<String, StoredObject>()
    private val revision = AtomicLong()
    private lateinit var server: HttpServer

    /** Whether every call gets 503. */
    @Volatile
    var outage = false

    /** Names of the clients that have called the watch. */
    val watchers: MutableSet<String> = java.util.concurrent.ConcurrentHashMap.newKeySet()

    /** Body of `GET /v1/vms`. */
    @Volatile
    var vms = JsonArray()

    val url: String get() = "http://127.0.0.1:${server.actualPort()}"

    suspend fun start() {
        val router = Router.router(vertx)
        router.route().handler(BodyHandler.create(false))
        router.route().handler { if (outage) it.response().setStatusCode(503).end() else it.next() }
        // This route comes first, because a route that ends in a wildcard also matches its prefix without the slash.
        router.get("/v1/objects").handler(::list)
        router.get("/v1/objects/*").handler(::read)
        router.put("/v1/objects/*").handler(::write)
        router.get("/v1/watch").handler(::watch)
        router.get("/v1/vms").handler { it.json(JsonObject().put("vms", vms)) }
        server = vertx.createHttpServer().requestHandler(router).listen(0, "127.0.0.1").coAwait()
    }

    suspend fun stop() {
        server.close().coAwait()
    }

    fun put(key: String, body: ByteArray) {
        objects.compute(key) { _, old -> StoredObject((old?.version ?: 0) + 1, body, revision.incrementAndGet()) }
    }

    fun textOrNull(key: String): String? = objects[key]?.body?.decodeToString()

    private fun keyOf(context: RoutingContext): String = context.normalizedPath().removePrefix("/v1/objects/")

    private fun read(context: RoutingContext) {
        val found = objects[keyOf(context)]
        if (found == null) {
            context.response().setStatusCode(404).end()
        } else {
            context.response().putHeader("Object-Version", "${found.version}").end(Buffer.buffer(found.body))
        }
    }

    private fun write(context: RoutingContext) {
        val key = keyOf(context)
        val current = objects[key]?.version ?: 0
        if (context.request().getHeader("If-Version") != "$current") {
            context.response().setStatusCode(409).putHeader("Object-Version", "$current").end()
            return
        }
        put(key, context.body().buffer()?.bytes ?: ByteArray(0))
        context.response().putHeader("Object-Version", "${current + 1}").end()
    }

    private fun list(context: RoutingContext) {
        val prefix = context.request().getParam("prefix").orEmpty()
        val found = objects.filterKeys { it.startsWith(prefix) }
            .map { (key, value) -> JsonObject().put("key", key).put("version", value.version) }
        context.json(JsonObject().put("revision", revision.get()).put("objects", JsonArray(found)))
    }

    private fun watch(context: RoutingContext) {
        watchers += context.request().getHeader("Client-Name").orEmpty()
        val prefix = context.request().getParam("prefix").orEmpty()
        val after = context.request().getParam("after").orEmpty().toLong()
        val end = System.nanoTime() + context.request().getParam("timeout_ms").orEmpty().toLong() * 1_000_000
        lateinit var check: () -> Unit
        check = {
            val events = objects.filter { it.key.startsWith(prefix) && it.value.revision > after }
                .map { (key, value) -> JsonObject().put("key", key).put("version", value.version) }
            if (events.isNotEmpty() || System.nanoTime() >= end) {
                context.json(JsonObject().put("revision", revision.get()).put("events", JsonArray(events)))
            } else {
                vertx.setTimer(20) { check() }
            }
        }
        check()
    }
}
