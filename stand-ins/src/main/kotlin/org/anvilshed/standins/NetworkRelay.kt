package org.anvilshed.standins

import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpServer
import io.vertx.core.json.JsonObject
import io.vertx.core.net.NetClientOptions
import io.vertx.ext.web.Router
import io.vertx.ext.web.handler.BodyHandler
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray

/** First byte of a CBOR text string of at most 23 bytes, minus the length of the string. */
private const val CBOR_SHORT_TEXT = 0x60

/**
 * TCP relays between the peer addresses of VMs, which can add delay, rate limits and partitions.
 *
 * The control port serves `POST /control` ([RelayControl]) and `GET /control` ([RelayCounters] of all pairs).
 *
 * @param vertx must have exactly one event loop, since the state of the relays is not synchronized.
 */
internal class NetworkRelay(private val vertx: Vertx, links: List<RelaySpec>) {
    private val client = vertx.createNetClient(NetClientOptions().setTcpNoDelay(true))
    private val names = links.map { it.name }
    private val pairs = HashMap<String, RelayPair>()
    private val links = links.map { link -> RelayListener(vertx, client, link) { pair(sourceName(it), link.name) } }

    /** Starts all relays and the control server on [host] and [controlPort]; if it is 0, the system chooses a port. */
    suspend fun start(host: String, controlPort: Int): HttpServer {
        links.forEach { it.start() }
        val router = Router.router(vertx)
        router.route().handler(BodyHandler.create(false))
        router.post("/control").handler { context ->
            val change = Json.decodeFromString<RelayControl>(context.body().asString().orEmpty())
            val changed = change.pairs ?: (names + "").flatMap { from -> names.map { "$from>$it" } }
            changed.forEach { pair(it.substringBefore('>'), it.substringAfter('>')).change(change) }
            context.json(JsonObject())
        }
        router.get("/control").handler { context ->
            val counters = pairs.values.map { Json.encodeToJsonElement(RelayCounters.serializer(), it.counters()) }
            context.response().putHeader("Content-Type", "application/json").end(JsonArray(counters).toString())
        }
        return vertx.createHttpServer().requestHandler(router).listen(controlPort, host).coAwait()
    }

    private fun pair(source: String, destination: String): RelayPair {
        val name = "$source>$destination"
        return pairs.getOrPut(name) { RelayPair(vertx, name) }
    }

    /**
     * Returns the name of the dialing VM, or an empty text if it is not found. The greeting contains the name as a CBOR
     * text string: a byte with the length, then the characters.
     */
    private fun sourceName(first: Buffer): String {
        val text = first.toString(Charsets.ISO_8859_1)
        return names.firstOrNull { (CBOR_SHORT_TEXT + it.length).toChar() + it in text }.orEmpty()
    }
}
