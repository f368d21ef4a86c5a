package org.anvilshed.gateway.peers

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.cbor.CborLabel
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import org.anvilshed.gateway.store.StoreKind
import org.anvilshed.gateway.store.StoreRevision
import kotlin.time.Duration.Companion.milliseconds

/**
 * State that an entry VM announces to the others several times a second, as one datagram.
 *
 * Fields have numeric labels to keep the datagrams small, since they make up most of the bytes between VMs.
 *
 * @property startedAtMillis Unix time of the process start; distinguishes successive processes of one VM.
 * @property callers address for callers, as `host:port`.
 * @property control address for other entry VMs, as `host:port`.
 * @property acceptsCallers whether callers may be sent to the VM; false before it is ready and once it is leaving.
 * @property revisions store revision of the last change that this VM knows, by [StoreKind.ordinal].
 * @property occupiedSlots slots that this VM's requests in flight occupy, times [SLOT_UNITS], by [targetHash].
 * @property peers hosts of a few VMs whose announcements this VM received recently.
 * @property eras era of the store for each of [revisions]; absent from older builds and if unknown.
 * @property configVersion version of the config in force; absent from older builds and if there is none.
 * @property storeResponseAgeMillis time since the store last responded to this VM; absent from older builds and if it
 *   never did.
 * @property crashes what this VM knows about requests that may crash targets; absent from older builds.
 * @property leaving [AnnouncedRate.hashOf] target processes that said recently that they leave; absent from older
 *   builds.
 * @property rates what this VM knows about targets that state a rate limit; absent from older builds.
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
public data class Announcement(
    @CborLabel(0) public val name: String,
    @CborLabel(1) public val startedAtMillis: Long,
    @CborLabel(2) public val zone: String,
    @CborLabel(3) public val callers: String,
    @CborLabel(4) public val control: String,
    @CborLabel(5) @SerialName("taking") public val acceptsCallers: Boolean,
    @CborLabel(6) public val sequence: Long,
    @CborLabel(7) public val revisions: List<Long>,
    @CborLabel(8) public val occupiedSlots: Map<Int, Int>,
    @CborLabel(9) public val peers: List<String>,
    @CborLabel(10) public val rates: List<AnnouncedRate> = emptyList(),
    @CborLabel(11) public val eras: List<Long> = emptyList(),
    @CborLabel(12) public val configVersion: Long = AnnouncedStore.NO_CONFIG,
    @CborLabel(13) public val storeResponseAgeMillis: Long = AnnouncedStore.NO_RESPONSE,
    @CborLabel(14) public val crashes: List<AnnouncedCrash> = emptyList(),
    @CborLabel(15) public val leaving: List<Int> = emptyList(),
) {
    /** What this VM knows of the store. */
    public val store: AnnouncedStore
        get() = AnnouncedStore(
            revisions.mapIndexed { index, number -> StoreRevision(eras.getOrElse(index) { 0 }, number) },
            configVersion,
            storeResponseAgeMillis.takeIf { it >= 0 }?.milliseconds,
        )

    /** Returns this announcement as the bytes of a datagram. */
    public fun encode(): ByteArray = format.encodeToByteArray(this)

    public companion object {
        private val format = Cbor {
            preferCborLabelsOverNames = true
            ignoreUnknownKeys = true
        }

        /** Units of [occupiedSlots] that make up one slot. */
        public const val SLOT_UNITS: Double = 10.0

        /** Key of the target [name] in [occupiedSlots]. */
        public fun targetHash(name: String): Int = name.hashCode()

        /** Returns the announcement in [bytes], or `null` if they can't be decoded. */
        public fun decodeOrNull(bytes: ByteArray): Announcement? = try {
            format.decodeFromByteArray<Announcement>(bytes)
        } catch (_: SerializationException) {
            null
        } catch (_: IllegalArgumentException) {
            null
        }
    }
}
