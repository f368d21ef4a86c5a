package org.anvilshed.standins

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The relayed address of the entry VM [name]: connections to [listen] go on to [destination] (both IP:port). */
@Serializable
internal data class RelayLink(val name: String, val listen: String, val destination: String)

/**
 * Body of `POST /control` of the network relay; a missing key leaves its setting as it is.
 *
 * @property pairs pairs `source>destination` of VM names to change; all of them if missing.
 * @property delayMs delay of each direction.
 * @property bytesPerSecond rate limit of each direction; 0 removes it.
 * @property cut `true` stops all bytes and leaves connections open, `false` heals.
 */
@Serializable
internal data class RelayControl(
    val pairs: List<String>? = null,
    @SerialName("delay_ms") val delayMs: Long? = null,
    @SerialName("bytes_per_second") val bytesPerSecond: Long? = null,
    val cut: Boolean? = null,
)

/** Counters of one pair of VMs, part of the answer of `GET /control`. */
@Serializable
internal data class RelayCounters(val name: String, val connections: Int, val bytes: Long, val cut: Boolean)
