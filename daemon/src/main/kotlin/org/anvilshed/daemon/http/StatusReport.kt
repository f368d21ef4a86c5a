package org.anvilshed.daemon.http

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Answer of `GET /v1/status` and row of `status/<zone>`. */
@Serializable
internal data class StatusReport(
    val name: String,
    val incarnation: String,
    val zone: String,
    val region: String,
    val state: String,
    @SerialName("bundle_version") val bundleVersion: Long,
    @SerialName("bundle_digest") val bundleDigest: String?,
    val seats: List<SeatStatus>,
    val peers: List<PeerStatus>,
    val targets: List<TargetStatus>,
    @SerialName("requests_in_flight") val requestsInFlight: Int,
    val records: Int,
    @SerialName("platform_stale") val isPlatformStale: Boolean,
    @SerialName("stale_measurements") val staleMeasurements: List<String>,
)

/** Seats of one scope; [valid] tells whether they may be used now. */
@Serializable
internal data class SeatStatus(val scope: String, val held: Int, val of: Int, val valid: Boolean)

@Serializable
internal data class PeerStatus(
    val name: String,
    val incarnation: String,
    val zone: String,
    val state: String,
    @SerialName("age_ms") val ageMilliseconds: Long,
    @SerialName("bundle_version") val bundleVersion: Long,
)

@Serializable
internal data class TargetStatus(
    val name: String,
    val service: String,
    val state: String,
    @SerialName("owned_slots") val ownedSlots: Int,
    @SerialName("in_flight") val inFlight: Int,
)
