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
 * Sends `GET` for [path] to the VM at [baseUrl] and returns the JSON object of its response.
 *
 * @throws CommandFailure if the VM does not answer, or answers with a status other than 200 or without a JSON object.
 */
internal fun Environment.getJson(
    baseUrl: String,
    path: String,
    parameters: Map<String, String>,
    timeout: Duration,
): JsonObject = when (val result = get(baseUrl.trimEnd('/') + path, parameters, timeout)) {
    is VmResult.Unreachable -> throw unreachable("$baseUrl does not answer: ${result.message}")

    is VmResult.Response -> {
        val json = parseObjectOrNull(result.body)
        if (result.status != STATUS_OK) {
            throw rejected("$baseUrl answered ${result.status}: ${json?.text("message") ?: result.body}")
        }
        json ?: throw rejected("the answer of $baseUrl is not a JSON object")
    }
}

/** Returns the JSON object in [text], or `null` if [text] is not a JSON object. */
internal fun parseObjectOrNull(text: String): JsonObject? = try {
    Json.parseToJsonElement(text) as? JsonObject
} catch (_: SerializationException) {
    null
}

/** Returns the scalar under [key] as text, or `null` if [key] is absent or its value is not a scalar. */
internal fun JsonObject.text(key: String): String? = (get(key) as? JsonPrimitive)?.contentOrNull

/** Returns the objects in the array under [key], or an empty list if [key] is absent. */
internal fun JsonObject.objects(key: String): List<JsonObject> =
    (get(key) as? List<*>).orEmpty().filterIsInstance<JsonObject>()

/** Returns the values of [columns] in each of [rows] as the cells of a table; `-` stands for an absent value. */
internal fun cells(rows: List<JsonObject>, columns: List<String>): List<List<String>> = rows.map { row ->
    columns.map { column -> row.text(column) ?: row[column]?.takeIf { it !is JsonNull }?.let(::compact) ?: "-" }
}

private fun compact(element: JsonElement): String = element.toString()
