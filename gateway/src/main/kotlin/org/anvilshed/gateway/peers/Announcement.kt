package org.anvilshed.gateway.peers

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.cbor.CborLabel
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import org.anvilshed.gateway.store.StoreKind

/**
 * What an entry VM tells the others several times a second, as one datagram.
 *
 * Field labels are numbers, since the datagrams make up most of the bytes between VMs.
 *
 * @property startedAtMillis Unix time of the process start; tells processes of one VM apart.
 * @property callers address for callers, as `host:port`.
 * @property control address for other entry VMs, as `host:port`.
 * @property taking whether the VM takes callers; false before it is ready and once it is leaving.
 * @property revisions store revision of the last known change, by [StoreKind.ordinal].
 * @property occupiedSlots slots that this VM's requests in flight take, in [SLOT_UNITS], by hash of the target's name.
 * @property peers hosts of the VMs that this one heard lately.
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
public data class Announcement(
    @CborLabel(0) public val name: String,
    @CborLabel(1) public val startedAtMillis: Long,
    @CborLabel(2) public val zone: String,
    @CborLabel(3) public val callers: String,
    @CborLabel(4) public val control: String,
    @CborLabel(5) public val taking: Boolean,
    @CborLabel(6) public val sequence: Long,
    @CborLabel(7) public val revisions: List<Long>,
    @CborLabel(8) public val occupiedSlots: Map<Int, Int>,
    @CborLabel(9) public val peers: List<String>,
) {
    /** Returns the datagram of this announcement. */
    public fun encode(): ByteArray = format.encodeToByteArray(this)

    public companion object {
        private val format = Cbor {
            preferCborLabelsOverNames = true
            ignoreUnknownKeys = true
        }

        /** Units of [occupiedSlots] in one slot. */
        public const val SLOT_UNITS: Double = 10.0

        /** Key of the target [name] in [occupiedSlots]. */
        public fun targetHash(name: String): Int = name.hashCode()

        /** Returns the announcement in [bytes], or `null` if they are damaged. */
        public fun decodeOrNull(bytes: ByteArray): Announcement? = try {
            format.decodeFromByteArray<Announcement>(bytes)
        } catch (_: SerializationException) {
            null
        } catch (_: IllegalArgumentException) {
            null
        }
    }
}
