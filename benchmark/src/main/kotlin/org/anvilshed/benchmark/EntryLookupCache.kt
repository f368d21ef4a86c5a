package org.anvilshed.benchmark

import io.vertx.core.Vertx
import io.vertx.core.json.JsonArray
import io.vertx.core.json.JsonObject
import io.vertx.ext.web.client.WebClient
import java.util.concurrent.ConcurrentHashMap

private const val REFRESH_INTERVAL_MS = 500L
private const val LOOKUP_TIMEOUT_MS = 1_000L

/**
 * An entry VM in a lookup answer.
 *
 * @property token prefix of the request identifiers that a caller may send to this VM.
 * @property expiresAt end of the time to live, in nanoseconds of `System.nanoTime`.
 */
internal data class LookupEntry(val vm: String, val host: String, val port: Int, val token: String, val expiresAt: Long)

/**
 * Lookup answers that all callers of a load use. The cache looks up at every entry VM twice a second and uses an entry
 * no longer than its time to live.
 *
 * @param origins URLs of the entry VMs, with their ports for callers.
 */
internal class EntryLookupCache(
    private val vertx: Vertx,
    private val client: WebClient,
    private val origins: List<String>,
) {
    private val entries = ConcurrentHashMap<String, LookupEntry>()
    private var timer: Long? = null

    @Volatile
    private var isStopped = false

    /** Looks up now and then at every interval until [stop]. */
    fun start() {
        refresh()
        timer = vertx.setPeriodic(REFRESH_INTERVAL_MS) { refresh() }
    }

    /** Ends the lookups; entries already in the cache stay. */
    fun stop() {
        isStopped = true
        timer?.let(vertx::cancelTimer)
    }

    /** Returns the entries that have not expired, ordered by VM name. */
    fun usableEntries(): List<LookupEntry> {
        val now = System.nanoTime()
        return entries.values.filter { it.expiresAt - now > 0 }.sortedBy { it.vm }
    }

    private fun refresh() {
        // A timer event that is already queued may run after the client was closed.
        if (isStopped) return
        for (origin in origins) {
            val sentAt = System.nanoTime()
            client.getAbs("$origin/v1/entry").timeout(LOOKUP_TIMEOUT_MS).send().onSuccess { response ->
                if (response.statusCode() == 200) store(response.bodyAsJsonObject() ?: JsonObject(), sentAt)
            }
        }
    }

    private fun store(answer: JsonObject, sentAt: Long) {
        val expiresAt = sentAt + answer.getLong("ttl_ms", 0) * 1_000_000
        for (item in answer.getJsonArray("entries", JsonArray())) {
            val json = item as JsonObject
            val address = json.getString("url").removePrefix("http://")
            val vm = json.getString("vm")
            entries[vm] = LookupEntry(
                vm = vm,
                host = address.substringBeforeLast(':'),
                port = address.substringAfterLast(':').toInt(),
                token = json.getString("token"),
                expiresAt = expiresAt,
            )
        }
    }
}
