package org.anvilshed.standins

import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpServer
import io.vertx.core.json.JsonArray
import io.vertx.core.json.JsonObject
import io.vertx.ext.web.Router
import io.vertx.ext.web.RoutingContext
import io.vertx.ext.web.handler.BodyHandler
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.serialization.json.Json
import kotlin.random.Random

private const val MAXIMUM_OBJECT_BYTES = 1024 * 1024
private const val MAXIMUM_BODY_BYTES = 4L * 1024 * 1024
private const val MAXIMUM_WATCH_MS = 60_000L

/**
 * Stand-in of the platform (design section 7).
 *
 * @param vertx must have exactly one event loop, since the state is not synchronized.
 */
internal class PlatformStandIn(private val vertx: Vertx) {
    private class Watch(val context: RoutingContext, val prefix: String, val after: Long, val timer: Long)

    private val store = InMemoryObjectStore()
    private val watches = LinkedHashSet<Watch>()
    private val readLimiter = CallRateLimiter(::now)
    private val writeLimiter = CallRateLimiter(::now)
    private val vmLists = ArrayDeque(listOf(Long.MIN_VALUE to emptyList<ListedVm>()))
    private var control = PlatformControl(outage = Outage.NONE)
    private var random = Random(0)
    private var reads = 0L
    private var writes = 0L
    private var conflicts = 0L
    private var limited = 0L
    private var lost = 0L

    /** Starts the server on [host] and [port]; the system chooses a port if [port] is 0. */
    suspend fun start(host: String, port: Int): HttpServer {
        val router = Router.router(vertx)
        router.route().handler(BodyHandler.create(false).setBodyLimit(MAXIMUM_BODY_BYTES))
        router.post("/control").handler(::changeControl)
        router.get("/control").handler(::reportCounters)
        router.route("/v1/*").handler(::admit)
        router.get("/v1/objects").handler { answerRead(it, ::listObjects) }
        router.get("/v1/objects/*").handler { answerRead(it, ::readObject) }
        router.put("/v1/objects/*").handler { answerWrite(it, ::putObject) }
        router.delete("/v1/objects/*").handler { answerWrite(it, ::deleteObject) }
        router.get("/v1/watch").handler { answerRead(it, ::watchObjects) }
        router.get("/v1/vms").handler { answerRead(it, ::listVms) }
        return vertx.createHttpServer().requestHandler(router).listen(port, host).coAwait()
    }

    private fun now(): Long = System.nanoTime() / 1_000_000

    private fun changeControl(context: RoutingContext) {
        val change = Json.decodeFromString<PlatformControl>(context.body().asString().orEmpty())
        change.vms?.let { vmLists.addLast(now() to it) }
        change.vmState?.let { states ->
            val list = vmLists.last().second.map { it.copy(state = states[it.name] ?: it.state) }
            vmLists.addLast(now() to list)
        }
        change.seed?.let { random = Random(it) }
        control = withChange(control, change.copy(vms = null, vmState = null))
        if (control.outage == Outage.REFUSE) watches.toList().forEach { endWatch(it) { fail(it.context, 503) } }
        reportCounters(context)
    }

    private fun reportCounters(context: RoutingContext) {
        val counters = PlatformCounters(reads, writes, conflicts, limited, lost, watches.size, store.revision)
        context.json(JsonObject(Json.encodeToString(PlatformCounters.serializer(), counters)))
    }

    /**
     * Applies outage, partition and delay. A call that gets no answer during an outage or partition gets none after its
     * end either.
     */
    private fun admit(context: RoutingContext) {
        val delay = control.delayMs ?: 0
        when {
            isUnanswered(context) -> Unit
            control.outage == Outage.REFUSE -> fail(context, 503)
            delay > 0 -> vertx.setTimer(delay) { context.next() }
            else -> context.next()
        }
    }

    private fun isUnanswered(context: RoutingContext): Boolean {
        val client = context.request().getHeader("Client-Name").orEmpty()
        return control.outage == Outage.HANG ||
            client in control.partitionedClients.orEmpty() ||
            control.partitionedPrefixes.orEmpty().any { client.startsWith(it) }
    }

    private fun answerRead(context: RoutingContext, answer: (RoutingContext) -> Unit) {
        reads++
        if (readLimiter.tryTake(control.readsPerSecond?.takeIf { it > 0 }, watches.size)) {
            answer(context)
        } else {
            limited++
            fail(context, 429)
        }
    }

    private fun answerWrite(context: RoutingContext, write: (RoutingContext, Long) -> WriteResult?) {
        writes++
        val expected = context.request().getHeader("If-Version")?.toLongOrNull()
        when {
            expected == null -> fail(context, 400)
            !writeLimiter.tryTake(control.writesPerSecond?.takeIf { it > 0 }) -> {
                limited++
                fail(context, 429)
            }
            else -> write(context, expected)?.let { respond(context, it) }
        }
    }

    private fun respond(context: RoutingContext, result: WriteResult) {
        val response = context.response()
        when (result) {
            is WriteResult.Conflict -> {
                conflicts++
                response.putHeader("Object-Version", result.currentVersion.toString()).setStatusCode(409).end()
            }
            is WriteResult.Written -> {
                notifyWatches()
                if (takeAnswerLoss()) {
                    lost++
                    context.request().connection().close()
                } else {
                    response.putHeader("Object-Version", result.version.toString()).end()
                }
            }
        }
    }

    private fun takeAnswerLoss(): Boolean {
        val next = control.loseNext ?: 0
        if (next > 0) {
            control = control.copy(loseNext = next - 1)
            return true
        }
        val probability = control.loseProbability ?: 0.0
        return probability > 0 && random.nextDouble() < probability
    }

    private fun keyOf(context: RoutingContext): String = context.normalizedPath().removePrefix("/v1/objects/")

    private fun readTime(): Long = control.staleMs?.takeIf { it > 0 }?.let { now() - it } ?: Long.MAX_VALUE

    private fun readObject(context: RoutingContext) {
        val value = store.read(keyOf(context), readTime())
        val bytes = value?.bytes
        if (value == null || bytes == null) {
            fail(context, 404)
        } else {
            context.response().putHeader("Object-Version", value.version.toString()).end(Buffer.buffer(bytes))
        }
    }

    private fun listObjects(context: RoutingContext) {
        val found = store.list(context.request().getParam("prefix").orEmpty(), readTime())
        val objects = JsonArray()
        found.forEach { (key, value) -> objects.add(JsonObject().put("key", key).put("version", value.version)) }
        context.json(JsonObject().put("revision", store.revision).put("objects", objects))
    }

    private fun putObject(context: RoutingContext, expected: Long): WriteResult? {
        val bytes = context.body().buffer()?.bytes ?: ByteArray(0)
        if (bytes.size > MAXIMUM_OBJECT_BYTES) {
            fail(context, 413)
            return null
        }
        return store.write(keyOf(context), expected, bytes, now())
    }

    private fun deleteObject(context: RoutingContext, expected: Long): WriteResult? {
        if (store.read(keyOf(context)) == null) {
            fail(context, 404)
            return null
        }
        return store.write(keyOf(context), expected, null, now())
    }

    private fun watchObjects(context: RoutingContext) {
        val request = context.request()
        val prefix = request.getParam("prefix").orEmpty()
        val after = request.getParam("after")?.toLongOrNull() ?: 0
        val timeout = (request.getParam("timeout_ms")?.toLongOrNull() ?: MAXIMUM_WATCH_MS)
        val events = store.eventsAfter(prefix, after)
        when {
            events == null -> fail(context, 410)
            events.isNotEmpty() -> respond(context, events)
            else -> startWatch(context, prefix, after, timeout.coerceIn(1, MAXIMUM_WATCH_MS))
        }
    }

    private fun startWatch(context: RoutingContext, prefix: String, after: Long, timeout: Long) {
        lateinit var watch: Watch
        val timer = vertx.setTimer(timeout) { endWatch(watch) { respond(context, emptyList()) } }
        watch = Watch(context, prefix, after, timer)
        watches += watch
        context.request().connection().closeHandler { endWatch(watch) {} }
    }

    private fun notifyWatches() {
        for (watch in watches.toList()) {
            val events = store.eventsAfter(watch.prefix, watch.after).orEmpty()
            if (events.isNotEmpty()) endWatch(watch) { respond(watch.context, events) }
        }
    }

    /** Ends [watch] with [answer], unless its client gets no answers at present. */
    private fun endWatch(watch: Watch, answer: () -> Unit) {
        if (!watches.remove(watch)) return
        vertx.cancelTimer(watch.timer)
        if (!isUnanswered(watch.context)) answer()
    }

    private fun respond(context: RoutingContext, events: List<ObjectEvent>) {
        val array = JsonArray()
        for (event in events) {
            array.add(
                JsonObject().put("key", event.key).put("version", event.version).put("deleted", event.deleted),
            )
        }
        context.json(JsonObject().put("revision", store.revision).put("events", array))
    }

    private fun listVms(context: RoutingContext) {
        val time = now() - (control.vmLagMs ?: 0)
        val list = vmLists.last { it.first <= time }.second
        context.json(JsonObject().put("vms", JsonArray(Json.encodeToString(list))))
    }

    private fun fail(context: RoutingContext, status: Int) {
        context.response().setStatusCode(status).end()
    }
}
