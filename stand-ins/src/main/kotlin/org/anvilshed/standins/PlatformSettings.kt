package org.anvilshed.standins

import kotlinx.serialization.EncodeDefault
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** How the platform stand-in fails during an outage. */
@Serializable
internal enum class Outage {
    @SerialName("none")
    NONE,

    /** Every call gets 503. */
    @SerialName("refuse")
    REFUSE,

    /** Calls get no answer at all. */
    @SerialName("hang")
    HANG,
}

/** Entry of the platform's VM list. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
internal data class ListedVm(
    val name: String,
    val role: String,
    val zone: String,
    val address: String,
    @EncodeDefault val state: String = "live",
)

/**
 * Body of `POST /control` of the platform stand-in; a missing key leaves its switch as it is.
 *
 * @property loseNext number of writes to come whose answer is lost after the write took effect.
 * @property loseProbability probability that a write's answer is lost, drawn with [seed].
 * @property staleMs age of the state that reads see.
 * @property cut client names that get no answers; replaces the earlier list.
 * @property cutPrefixes prefixes of client names that get no answers (a zone); replaces the earlier list.
 * @property vms the VM list.
 * @property vmState new states of single entries of the VM list by name.
 * @property writesPerSecond limit of writes; 0 removes it.
 * @property readsPerSecond limit of reads, of which every waiting watch holds one; 0 removes it.
 */
@Serializable
internal data class PlatformControl(
    val outage: Outage? = null,
    @SerialName("delay_ms") val delayMs: Long? = null,
    @SerialName("lose_next") val loseNext: Int? = null,
    @SerialName("lose_probability") val loseProbability: Double? = null,
    val seed: Long? = null,
    @SerialName("stale_ms") val staleMs: Long? = null,
    val cut: List<String>? = null,
    @SerialName("cut_prefixes") val cutPrefixes: List<String>? = null,
    val vms: List<ListedVm>? = null,
    @SerialName("vm_state") val vmState: Map<String, String>? = null,
    @SerialName("vm_lag_ms") val vmLagMs: Long? = null,
    @SerialName("writes_per_second") val writesPerSecond: Double? = null,
    @SerialName("reads_per_second") val readsPerSecond: Double? = null,
)

/** Counters of the platform stand-in, the answer of `GET /control`. */
@Serializable
internal data class PlatformCounters(
    val reads: Long,
    val writes: Long,
    val conflicts: Long,
    val limited: Long,
    val lost: Long,
    val waiting: Int,
    val revision: Long,
)
