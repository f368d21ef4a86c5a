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

/** The other side sent something that the peer protocol does not allow; the connection is closed. */
public class PeerProtocolException(message: String, cause: Throwable? = null) : Exception(message, cause)

@OptIn(ExperimentalSerializationApi::class)
private val format = Cbor { ignoreUnknownKeys = true }

/**
 * Returns the CBOR form of [message].
 *
 * @throws IllegalArgumentException if it exceeds [MAXIMUM_FRAME_BYTES].
 */
@OptIn(ExperimentalSerializationApi::class)
public fun encodeFrame(message: PeerMessage): ByteArray {
    val bytes = format.encodeToByteArray(PeerMessage.serializer(), message)
    require(bytes.size <= MAXIMUM_FRAME_BYTES) { "message of ${bytes.size} bytes exceeds $MAXIMUM_FRAME_BYTES" }
    return bytes
}

/**
 * Returns the message with the CBOR form [bytes].
 *
 * @throws PeerProtocolException if [bytes] is not a message.
 */
@OptIn(ExperimentalSerializationApi::class)
@Suppress("TooGenericExceptionCaught") // The decoder reports corrupted input by at least four types of exceptions.
public fun decodeFrame(bytes: ByteArray): PeerMessage = try {
    format.decodeFromByteArray(PeerMessage.serializer(), bytes)
} catch (fault: RuntimeException) {
    throw PeerProtocolException("not a peer message", fault)
} catch (fault: StackOverflowError) {
    // Corrupted bytes that read as deeply nested elements exhaust the decoder's recursion.
    throw PeerProtocolException("peer message nested too deeply", fault)
}

/** Writes [message] with its length, without flushing. */
internal suspend fun ByteWriteChannel.writeMessage(message: PeerMessage) {
    val bytes = encodeFrame(message)
    writeInt(bytes.size)
    writeFully(bytes)
}

/**
 * Reads one message.
 *
 * @throws PeerProtocolException if the length is out of bounds or the frame is not a message.
 */
internal suspend fun ByteReadChannel.readMessage(): PeerMessage {
    val length = readInt()
    if (length !in 1..MAXIMUM_FRAME_BYTES) {
        throw PeerProtocolException("frame of $length bytes, allowed are 1 to $MAXIMUM_FRAME_BYTES")
    }
    return decodeFrame(readByteArray(length))
}
