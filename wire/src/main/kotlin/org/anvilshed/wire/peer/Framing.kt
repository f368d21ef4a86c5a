package org.anvilshed.wire.peer

import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.readByteArray
import io.ktor.utils.io.readInt
import io.ktor.utils.io.writeFully
import io.ktor.utils.io.writeInt
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor

/** Largest encoded message in bytes, without the length field. */
public const val MAXIMUM_FRAME_BYTES: Int = 1024 * 1024

/** Largest number of body bytes in one [BodyChunk]. */
public const val MAXIMUM_CHUNK_BYTES: Int = 64 * 1024

/** Thrown if the other side violates the peer protocol, after which the connection is closed. */
public class PeerProtocolException(message: String, cause: Throwable? = null) : Exception(message, cause)

@OptIn(ExperimentalSerializationApi::class)
private val format = Cbor { ignoreUnknownKeys = true }

/**
 * Returns [message] encoded in CBOR.
 *
 * @throws IllegalArgumentException if the encoded message exceeds [MAXIMUM_FRAME_BYTES].
 */
@OptIn(ExperimentalSerializationApi::class)
public fun encodeFrame(message: PeerMessage): ByteArray {
    val bytes = format.encodeToByteArray(PeerMessage.serializer(), message)
    require(bytes.size <= MAXIMUM_FRAME_BYTES) { "message of ${bytes.size} bytes exceeds $MAXIMUM_FRAME_BYTES" }
    return bytes
}

/**
 * Returns the message that is encoded in CBOR as [bytes].
 *
 * @throws PeerProtocolException if [bytes] is not an encoded message.
 */
@OptIn(ExperimentalSerializationApi::class)
@Suppress("TooGenericExceptionCaught") // The decoder throws at least four types of exceptions for corrupted input.
public fun decodeFrame(bytes: ByteArray): PeerMessage = try {
    format.decodeFromByteArray(PeerMessage.serializer(), bytes)
} catch (fault: RuntimeException) {
    throw PeerProtocolException("the frame is not a peer message", fault)
} catch (fault: StackOverflowError) {
    // The decoder is recursive: corrupted bytes that look like deeply nested elements overflow its stack.
    throw PeerProtocolException("the peer message is nested too deeply", fault)
}

/** Writes the length of [message] and the message, without flushing. */
internal suspend fun ByteWriteChannel.writeMessage(message: PeerMessage) {
    val bytes = encodeFrame(message)
    writeInt(bytes.size)
    writeFully(bytes)
}

/**
 * Reads one message.
 *
 * @throws PeerProtocolException if the length is out of range or the frame is not a message.
 */
internal suspend fun ByteReadChannel.readMessage(): PeerMessage {
    val length = readInt()
    if (length !in 1..MAXIMUM_FRAME_BYTES) {
        throw PeerProtocolException("the frame has $length bytes; 1 to $MAXIMUM_FRAME_BYTES are allowed")
    }
    return decodeFrame(readByteArray(length))
}
