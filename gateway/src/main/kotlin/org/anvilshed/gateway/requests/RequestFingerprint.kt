package org.anvilshed.gateway.requests

import org.anvilshed.gateway.RequestHeaderNames
import org.anvilshed.gateway.targets.TargetRequest
import java.nio.ByteBuffer
import java.security.MessageDigest

/**
 * Returns a hash of what a request has in common with its repetitions by the same caller: method, host, path, caller,
 * object and body, but not the identifier and the deadline of the attempt.
 *
 * The first 8 bytes of SHA-256, so that nobody can construct a request with the fingerprint of another one.
 */
internal fun TargetRequest.fingerprint(headerNames: RequestHeaderNames): Long {
    val digest = MessageDigest.getInstance("SHA-256")
    val host: String? = headers.get("Host")
    val caller: String? = headers.get(headerNames.caller)
    val affinityKey: String? = headers.get(headerNames.affinityKey)
    for (part in listOf(method.name(), host, uri, caller, affinityKey)) {
        val bytes = part.orEmpty().toByteArray()
        // The length separates the parts.
        digest.update(ByteBuffer.allocate(Int.SIZE_BYTES).putInt(bytes.size).array())
        digest.update(bytes)
    }
    body?.let { digest.update(it.bytes) }
    return ByteBuffer.wrap(digest.digest()).getLong()
}

/** Returns [fingerprint] as it stands in logs. */
internal fun fingerprintText(fingerprint: Long): String = fingerprint.toULong().toString(FINGERPRINT_RADIX)

private const val FINGERPRINT_RADIX = 16
