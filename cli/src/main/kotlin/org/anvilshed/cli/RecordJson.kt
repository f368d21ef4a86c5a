package org.anvilshed.cli

import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import org.anvilshed.core.bundle.SignedBundle
import org.anvilshed.core.bundle.digest

/** Client name that commands without an operator send to the platform. */
internal const val CLIENT_NAME: String = "anvilctl"

/** Returns the metadata of [record], which holds bundle [version], as JSON for programs. */
internal fun recordJson(version: Long, record: SignedBundle): JsonObject = buildJsonObject {
    put("version", JsonPrimitive(version))
    put("digest", JsonPrimitive(record.bytes.digest().value))
    put("author", JsonPrimitive(record.author))
    put("signed_off_by", JsonPrimitive(record.signOff?.operator))
    put("activated_at", JsonPrimitive(record.signOff?.activation?.activatedAt?.toString()))
}
