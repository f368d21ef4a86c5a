package org.anvilshed.cli

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.contentOrNull
import kotlin.time.Duration

private const val STATUS_OK = 200

/**
 * Gets a JSON object from the VM at [baseUrl].
 *
 * @throws CommandFailure if the VM does not answer with one.
 */
internal fun Environment.getJson(
    baseUrl: String,
    path: String,
    parameters: Map<String, String>,
    timeout: Duration,
): JsonObject = when (val answer = get(baseUrl.trimEnd('/') + path, parameters, timeout)) {
    is VmAnswer.Unreachable -> throw unreachable("$baseUrl does not answer: ${answer.message}")

    is VmAnswer.Answered -> {
        val json = parseObjectOrNull(answer.body)
        if (answer.status != STATUS_OK) {
            throw rejected("$baseUrl answered ${answer.status}: ${json?.text("message") ?: answer.body}")
        }
        json ?: throw rejected("$baseUrl answered with something else than a JSON object")
    }
}

/** Returns the JSON object in [text], or `null` if it is something else. */
internal fun parseObjectOrNull(text: String): JsonObject? = try {
    Json.parseToJsonElement(text) as? JsonObject
} catch (_: SerializationException) {
    null
}

/** Returns the scalar under [key] as text, or `null` if it is absent. */
internal fun JsonObject.text(key: String): String? = (get(key) as? JsonPrimitive)?.contentOrNull

/** Returns the objects of the array under [key]; none if it is absent. */
internal fun JsonObject.objects(key: String): List<JsonObject> =
    (get(key) as? List<*>).orEmpty().filterIsInstance<JsonObject>()

/** Returns the [columns] of each of [rows] for a table. */
internal fun cells(rows: List<JsonObject>, columns: List<String>): List<List<String>> = rows.map { row ->
    columns.map { column -> row.text(column) ?: row[column]?.takeIf { it !is JsonNull }?.let(::compact) ?: "-" }
}

private fun compact(element: JsonElement): String = element.toString()
