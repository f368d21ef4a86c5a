package org.anvilshed.core.bundle

import kotlinx.serialization.KSerializer
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.descriptors.PrimitiveKind
import kotlinx.serialization.descriptors.PrimitiveSerialDescriptor
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.encoding.Decoder
import kotlinx.serialization.encoding.Encoder
import java.util.Base64

/**
 * Immutable sequence of bytes, compared by content.
 *
 * The serialized form is a base64 string in every format: CBOR would otherwise write an array of integers, which is
 * longer than base64 and would not leave room for the largest bundle in a frame.
 */
@Serializable(with = BinaryDataSerializer::class)
public class BinaryData(bytes: ByteArray) {
    private val content: ByteArray = bytes.clone()

    /** Number of bytes. */
    public val size: Int get() = content.size

    /** Returns a copy of the bytes. */
    public fun toByteArray(): ByteArray = content.clone()

    /** Returns the bytes in base64; [parseBinaryDataOrNull] is the inverse. */
    public fun toBase64(): String = Base64.getEncoder().encodeToString(content)

    override fun equals(other: Any?): Boolean = other is BinaryData && content.contentEquals(other.content)

    override fun hashCode(): Int = content.contentHashCode()

    override fun toString(): String = "BinaryData($size bytes)"
}

/** Returns the bytes written in base64 in [text], or `null` if [text] is not base64. */
public fun parseBinaryDataOrNull(text: String): BinaryData? = try {
    BinaryData(Base64.getDecoder().decode(text))
} catch (_: IllegalArgumentException) {
    null
}

internal object BinaryDataSerializer : KSerializer<BinaryData> {
    override val descriptor: SerialDescriptor = PrimitiveSerialDescriptor("BinaryData", PrimitiveKind.STRING)

    override fun serialize(encoder: Encoder, value: BinaryData): Unit = encoder.encodeString(value.toBase64())

    override fun deserialize(decoder: Decoder): BinaryData =
        parseBinaryDataOrNull(decoder.decodeString()) ?: throw SerializationException("expected base64")
}
