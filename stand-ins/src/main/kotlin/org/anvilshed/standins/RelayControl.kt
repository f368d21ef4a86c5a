package org.anvilshed.standins

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Relayed address of the entry VM [name]: connections to [listen] are forwarded to [destination] (both IP:port). */
@Serializable
internal data class RelaySpec(val name: String, val listen: String, val destination: String)

/**
 * Body of `POST /control` of the network relay; a missing key leaves its setting unchanged.
 *
 * @property pairs pairs `source>destination` of VM names to change; all pairs if missing.
 * @property delayMs delay of each direction.
 * @property bytesPerSecond rate limit of each direction; 0 removes the limit.
 * @property partitioned `true` stops all bytes and leaves connections open, `false` ends the partition.
 */
@Serializable
internal data class RelayControl(
    val pairs: List<String>? = null,
    @SerialName("delay_ms") val delayMs: Long? = null,
    @SerialName("bytes_per_second") val bytesPerSecond: Long? = null,
    @SerialName("cut") val partitioned: Boolean? = null,
)

/** Counters of one pair of VMs; part of the answer to `GET /control`. */
@Serializable
internal data class RelayCounters(
    val name: String,
    val connections: Int,
    val bytes: Long,
    @SerialName("cut") val partitioned: Boolean,
)
