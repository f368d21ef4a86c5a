package org.anvilshed.standins

import kotlinx.serialization.EncodeDefault
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Way in which the platform stand-in fails. */
@Serializable
internal enum class Outage {
    @SerialName("none")
    NONE,

    /** Every call is answered with status 503. */
    @SerialName("refuse")
    REFUSE,

    /** No call gets an answer. */
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
 * Body of `POST /control` of the platform stand-in; a missing key leaves its setting unchanged.
 *
 * @property delayMs time by which each call is delayed.
 * @property loseNext number of next writes whose answer is lost after the write took effect.
 * @property loseProbability probability that the answer to a write is lost after the write took effect.
 * @property seed new seed of the random numbers for [loseProbability].
 * @property staleMs age of the state that reads return; 0 for the current state.
 * @property partitionedClients names of clients that get no answers; replaces the earlier list.
 * @property partitionedPrefixes prefixes of the names of clients that get no answers, such as the prefix of all VMs of
 * a zone; replaces the earlier list.
 * @property vms new VM list.
 * @property vmState new states of entries of the VM list by VM name.
 * @property vmLagMs age of the VM list that is returned.
 * @property writesPerSecond limit of writes; 0 removes the limit.
 * @property readsPerSecond limit of reads, of which every waiting watch uses up one; 0 removes the limit.
 */
@Serializable
internal data class PlatformControl(
    val outage: Outage? = null,
    @SerialName("delay_ms") val delayMs: Long? = null,
    @SerialName("lose_next") val loseNext: Int? = null,
    @SerialName("lose_probability") val loseProbability: Double? = null,
    val seed: Long? = null,
    @SerialName("stale_ms") val staleMs: Long? = null,
    @SerialName("cut") val partitionedClients: List<String>? = null,
    @SerialName("cut_prefixes") val partitionedPrefixes: List<String>? = null,
    val vms: List<ListedVm>? = null,
    @SerialName("vm_state") val vmState: Map<String, String>? = null,
    @SerialName("vm_lag_ms") val vmLagMs: Long? = null,
    @SerialName("writes_per_second") val writesPerSecond: Double? = null,
    @SerialName("reads_per_second") val readsPerSecond: Double? = null,
)

/**
 * Counters of the platform stand-in; the answer to `GET /control`.
 *
 * @property conflicts writes refused because the object had another version.
 * @property limited calls refused because of a rate limit.
 * @property lost writes that took effect but whose answer was lost.
 * @property waiting number of watches that wait for a change.
 * @property revision revision of the object store.
 */
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
