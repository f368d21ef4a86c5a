package org.anvilshed.standins

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** A target to stand in for; [port] 0 is chosen by the system. */
@Serializable
internal data class TargetSpec(val name: String, val host: String, val port: Int = 0, val slots: Int)

/**
 * Body of `POST /control` of the target stand-ins; a missing key leaves its switch as it is.
 *
 * @property targets names of the targets to change; all of them if missing.
 * @property workMs service time of requests that carry no `Work-Ms`.
 * @property connectionMs time added to the first request of each connection.
 * @property coldRequests number of next requests that take [coldFactor] times as long.
 * @property coldMs time from now during which requests take [coldFactor] times as long.
 * @property shedProbability probability that a request is shed, drawn with [seed].
 * @property shedAbove number of requests above the slots from which on requests are shed; -1: never.
 * @property healthSlots, healthInFlight, healthState false values to report; -1 or an empty text: the true one.
 * @property healthLagMs age of the reported values.
 * @property healthSilent whether health checks get no answer.
 */
@Serializable
internal data class TargetControl(
    val targets: List<String>? = null,
    val slots: Int? = null,
    @SerialName("work_ms") val workMs: Long? = null,
    @SerialName("connection_ms") val connectionMs: Long? = null,
    @SerialName("cold_requests") val coldRequests: Int? = null,
    @SerialName("cold_ms") val coldMs: Long? = null,
    @SerialName("cold_factor") val coldFactor: Double? = null,
    @SerialName("shed_probability") val shedProbability: Double? = null,
    @SerialName("shed_above") val shedAbove: Int? = null,
    val seed: Long? = null,
    val draining: Boolean? = null,
    @SerialName("health_state") val healthState: String? = null,
    @SerialName("health_slots") val healthSlots: Int? = null,
    @SerialName("health_in_flight") val healthInFlight: Int? = null,
    @SerialName("health_lag_ms") val healthLagMs: Long? = null,
    @SerialName("health_silent") val healthSilent: Boolean? = null,
    @SerialName("reset_peak") val resetPeak: Boolean? = null,
)

/**
 * Counters of one target.
 *
 * @property peak largest number of requests present (working or queued) since the start or `reset_peak`.
 * @property started requests whose work began; shed ones don't count.
 * @property lastArrivalMsAgo time since the latest request that was not shed arrived; -1 if there was none.
 */
@Serializable
public data class TargetCounters(
    public val name: String,
    public val port: Int,
    public val slots: Int,
    @SerialName("in_flight") public val inFlight: Int,
    public val queued: Int,
    public val peak: Int,
    public val started: Long,
    public val completed: Long,
    public val cancelled: Long,
    public val expired: Long,
    public val shed: Long,
    public val connections: Int,
    @SerialName("peak_connections") public val peakConnections: Int,
    @SerialName("last_arrival_ms_ago") public val lastArrivalMsAgo: Long,
)

/** What `GET /health` of a target says. */
@Serializable
internal data class TargetHealth(
    val state: String,
    val slots: Int,
    @SerialName("in_flight") val inFlight: Int,
    val queued: Int,
    @SerialName("age_ms") val ageMs: Long,
)
