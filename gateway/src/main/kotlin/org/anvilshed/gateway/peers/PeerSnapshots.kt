package org.anvilshed.gateway.peers

import io.vertx.core.Vertx
import io.vertx.core.VertxException
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpClientAgent
import io.vertx.core.http.HttpClientOptions
import io.vertx.core.http.HttpMethod
import io.vertx.core.http.HttpServerRequest
import io.vertx.core.http.RequestOptions
import io.vertx.core.json.DecodeException
import io.vertx.core.json.JsonArray
import io.vertx.core.json.JsonObject
import kotlinx.coroutines.withTimeoutOrNull
import org.anvilshed.core.SocketAddress
import org.anvilshed.gateway.call
import org.anvilshed.gateway.store.StoreFeed
import org.anvilshed.gateway.store.StoreKind
import org.anvilshed.gateway.store.StoreListing
import org.anvilshed.gateway.store.StoreObject
import org.anvilshed.gateway.store.StoreRevision
import org.anvilshed.http.withStrictResponses
import java.io.IOException
import java.util.concurrent.TimeoutException
import kotlin.time.Duration.Companion.milliseconds

/**
 * Serves this VM's copies of store objects to peers, and fetches copies from peers.
 *
 * @param onStrayBytes called with the address of a peer and the first bytes that it wrote outside a response; their
 *   connection is closed.
 */
internal class PeerSnapshots(
    vertx: Vertx,
    private val feeds: Map<StoreKind, StoreFeed>,
    onStrayBytes: (String, String) -> Unit = { _, _ -> },
) {
    private val client: HttpClientAgent = vertx.httpClientBuilder()
        .with(HttpClientOptions().setConnectTimeout(CALL_TIMEOUT.inWholeMilliseconds.toInt()).setKeepAlive(true))
        .withStrictResponses { address, bytes -> onStrayBytes(address.toString(), bytes) }
        .build()

    /** Handles `GET /v1/objects/KIND`: responds with this VM's objects of the kind. */
    fun handle(request: HttpServerRequest) {
        val kind = StoreKind.entries.firstOrNull { request.path() == pathOf(it) }
        val feed = feeds[kind]?.takeIf { it.hasListing }
        if (feed == null) {
            request.response().setStatusCode(NOT_FOUND).end()
        } else {
            request.response().putHeader("Content-Type", "application/json").end(encode(feed.snapshot()))
        }
    }

    /** Returns the objects of [kind] that the VM at [control] has, or `null` without a usable response in time. */
    suspend fun fetchOrNull(control: SocketAddress, kind: StoreKind): StoreListing? = try {
        withTimeoutOrNull(CALL_TIMEOUT) {
            val options = RequestOptions().setMethod(HttpMethod.GET).setHost(control.host).setPort(control.port)
                .setURI(pathOf(kind)).setConnectTimeout(CALL_TIMEOUT.inWholeMilliseconds)
            client.call(options).takeIf { it.status == OK }?.let { decodeOrNull(it.body) }
        }
    } catch (_: IOException) {
        null
    } catch (_: VertxException) {
        null
    } catch (_: TimeoutException) {
        null
    }

    private fun pathOf(kind: StoreKind): String = "/v1/objects/${kind.name.lowercase()}"

    private fun encode(listing: StoreListing): Buffer {
        val objects = JsonArray()
        for (item in listing.objects) {
            objects.add(encode(item.revision).put("name", item.name).put("content", item.content))
        }
        return encode(listing.revision).put("objects", objects).toBuffer()
    }

    private fun encode(revision: StoreRevision): JsonObject =
        JsonObject().put("revision", revision.number).put("era", revision.era)

    /** Builds that know no eras send none. */
    private fun decodeRevisionOrNull(json: JsonObject): StoreRevision? {
        val number = json.getValue("revision") as? Number ?: return null
        return StoreRevision((json.getValue("era") as? Number ?: 0).toLong(), number.toLong())
    }

    private fun decodeOrNull(body: Buffer): StoreListing? {
        val json = try {
            body.toJsonObject()
        } catch (_: DecodeException) {
            return null
        }
        val revision = decodeRevisionOrNull(json) ?: return null
        val items = json.getValue("objects") as? JsonArray ?: return null
        return StoreListing(items.map { decodeObjectOrNull(it) ?: return null }, revision)
    }

    private fun decodeObjectOrNull(item: Any?): StoreObject? {
        val entry = item as? JsonObject ?: return null
        val name = entry.getValue("name") as? String ?: return null
        val revision = decodeRevisionOrNull(entry) ?: return null
        return StoreObject(name, revision, entry.getValue("content") as? JsonObject)
    }

    companion object {
        private const val OK = 200
        private const val NOT_FOUND = 404

        /** A peer responds from memory; without a response in this time, another peer should be asked. */
        val CALL_TIMEOUT = 500.milliseconds
    }
}
