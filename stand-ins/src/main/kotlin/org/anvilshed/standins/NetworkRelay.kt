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

/** Major type of a CBOR text of at most 23 bytes, to which its length is added. */
private const val CBOR_SHORT_TEXT = 0x60

/**
 * TCP relays between peer addresses with one control port (`POST /control` with [RelayControl], `GET /control`).
 * All of them run on one event loop: give it a [Vertx] with one.
 */
internal class NetworkRelay(private val vertx: Vertx, links: List<RelayLink>) {
    private val client = vertx.createNetClient(NetClientOptions().setTcpNoDelay(true))
    private val names = links.map { it.name }
    private val pairs = HashMap<String, RelayPair>()
    private val links = links.map { link -> RelayedLink(vertx, client, link) { pair(sourceName(it), link.name) } }

    /** Starts all relays and the control port on [host] and [controlPort] (0: chosen by the system). */
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

    /** The greeting carries the dialing VM's name as a CBOR text: a byte with the length, then the characters. */
    private fun sourceName(first: Buffer): String {
        val text = first.toString(Charsets.ISO_8859_1)
        return names.firstOrNull { (CBOR_SHORT_TEXT + it.length).toChar() + it in text }.orEmpty()
    }
}
