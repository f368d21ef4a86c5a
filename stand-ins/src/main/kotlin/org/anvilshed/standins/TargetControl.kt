package org.anvilshed.standins

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Address and capacity of a target stand-in; the system chooses a port if [port] is 0. */
@Serializable
internal data class TargetSpec(val name: String, val host: String, val port: Int = 0, val slots: Int)

/**
 * Body of `POST /control` of the target stand-ins; a missing key leaves its setting unchanged.
 *
 * @property targets names of the targets to change; all targets if missing.
 * @property slots number of requests that run at the same time.
 * @property workMs service time of requests that carry no `Work-Ms`.
 * @property connectionMs time added to the first request of each connection.
 * @property coldRequests number of next requests that take [coldFactor] times as long.
 * @property coldMs time from now during which requests take [coldFactor] times as long.
 * @property shedProbability probability that a request is shed.
 * @property shedAbove number of running and queued requests beyond the slots from which on requests are shed; -1 for no
 *   limit.
 * @property seed new seed of the random numbers for [shedProbability].
 * @property draining whether all requests are refused, since the target is about to stop.
 * @property healthState state to report instead of the true one; an empty text for the true state.
 * @property healthSlots number of slots to report instead of the true one; -1 for the true number.
 * @property healthInFlight number of running requests to report instead of the true one; -1 for the true number.
 * @property healthLagMs age of the reported values.
 * @property healthSilent whether health checks get no answer.
 * @property resetPeak whether [TargetCounters.peak] starts again at the present number of requests.
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
 * @property peak largest number of running and queued requests since the start or `reset_peak`.
 * @property started requests that began to run; shed requests are not counted.
 * @property cancelled requests whose connection was closed before the answer.
 * @property expired requests that did not complete before their deadline.
 * @property shed requests refused without being run.
 * @property peakConnections largest number of open connections since the start.
 * @property lastArrivalMsAgo time since the arrival of the latest request that was not shed; -1 if there was none.
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

/**
 * Answer of a target to `GET /health`.
 *
 * @property ageMs age of the reported values.
 */
@Serializable
internal data class HealthReport(
    val state: String,
    val slots: Int,
    @SerialName("in_flight") val inFlight: Int,
    val queued: Int,
    @SerialName("age_ms") val ageMs: Long,
)
