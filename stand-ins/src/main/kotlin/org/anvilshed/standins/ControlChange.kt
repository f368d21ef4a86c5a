package org.anvilshed.standins

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.decodeFromJsonElement
import kotlinx.serialization.json.encodeToJsonElement
import kotlinx.serialization.json.jsonObject

/** Returns [current] with the properties that are set in [change]. All properties of [T] must default to `null`. */
internal inline fun <reified T> withChange(current: T, change: T): T {
    val merged = Json.encodeToJsonElement(current).jsonObject + Json.encodeToJsonElement(change).jsonObject
    return Json.decodeFromJsonElement(JsonObject(merged))
}
