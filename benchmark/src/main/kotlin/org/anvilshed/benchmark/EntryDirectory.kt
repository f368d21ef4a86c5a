package org.anvilshed.benchmark

import io.vertx.core.Vertx
import io.vertx.core.json.JsonArray
import io.vertx.core.json.JsonObject
import io.vertx.ext.web.client.WebClient
import java.util.concurrent.ConcurrentHashMap

private const val REFRESH_MS = 500L
private const val ANSWER_LIMIT_MS = 1_000L

/** An entry VM as a lookup named it; the entry may be used until [expiresAt] on the clock of `System.nanoTime`. */
internal data class Entry(val vm: String, val host: String, val port: Int, val token: String, val expiresAt: Long)

/**
 * Lookup answers as a set of callers keeps them: every entry VM is asked twice a second, and an entry is used no
 * longer than its time to live.
 *
 * @param origins URLs of the entry VMs' callers' ports.
 */
internal class EntryDirectory(
    private val vertx: Vertx,
    private val client: WebClient,
    private val origins: List<String>,
) {
    private val entries = ConcurrentHashMap<String, Entry>()
    private var timer: Long? = null

    @Volatile
    private var isStopped = false

    fun start() {
        refresh()
        timer = vertx.setPeriodic(REFRESH_MS) { refresh() }
    }

    fun stop() {
        isStopped = true
        timer?.let(vertx::cancelTimer)
    }

    /** Returns the entries that may be used now, in the order of their names. */
    fun usable(): List<Entry> {
        val now = System.nanoTime()
        return entries.values.filter { it.expiresAt - now > 0 }.sortedBy { it.vm }
    }

    private fun refresh() {
        // A tick that is already queued may run after the client was closed.
        if (isStopped) return
        for (origin in origins) {
            val sentAt = System.nanoTime()
            client.getAbs("$origin/v1/entry").timeout(ANSWER_LIMIT_MS).send().onSuccess { response ->
                if (response.statusCode() == 200) accept(response.bodyAsJsonObject() ?: JsonObject(), sentAt)
            }
        }
    }

    private fun accept(answer: JsonObject, sentAt: Long) {
        val expiresAt = sentAt + answer.getLong("ttl_ms", 0) * 1_000_000
        for (item in answer.getJsonArray("entries", JsonArray())) {
            val json = item as JsonObject
            val address = json.getString("url").removePrefix("http://")
            val vm = json.getString("vm")
            entries[vm] = Entry(
                vm = vm,
                host = address.substringBeforeLast(':'),
                port = address.substringAfterLast(':').toInt(),
                token = json.getString("token"),
                expiresAt = expiresAt,
            )
        }
    }
}
