package org.anvilshed.core.bundle

import kotlinx.serialization.Serializable
import java.security.MessageDigest

/**
 * SHA-256 digest of the exact bytes of a bundle, as 64 hexadecimal digits. It distinguishes two documents with the
 * same version.
 */
@Serializable
@JvmInline
public value class BundleDigest(public val value: String) {
    override fun toString(): String = value
}

/** Returns the digest of these bytes. */
public fun BinaryData.digest(): BundleDigest = BundleDigest(sha256().joinToString("") { "%02x".format(it) })

internal fun BinaryData.sha256(): ByteArray = MessageDigest.getInstance("SHA-256").digest(toByteArray())
