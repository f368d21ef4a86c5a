package org.anvilshed.daemon.http

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Answer of `GET /v1/status`; a part of it is also stored in `status/<zone>`. */
@Serializable
internal data class StatusReport(
    val name: String,
    val incarnation: String,
    val zone: String,
    val region: String,
    val state: String,
    @SerialName("bundle_version") val bundleVersion: Long,
    @SerialName("bundle_digest") val bundleDigest: String?,
    @SerialName("seats") val shares: List<ShareStatus>,
    val peers: List<PeerStatus>,
    val targets: List<TargetStatus>,
    @SerialName("requests_in_flight") val requestsInFlight: Int,
    val records: Int,
    @SerialName("platform_stale") val isPlatformStale: Boolean,
    @SerialName("stale_measurements") val staleMeasurements: List<String>,
)

/** Held shares of one scope: [held] of [of] shares, which may be used now if [valid] is `true`. */
@Serializable
internal data class ShareStatus(val scope: String, val held: Int, val of: Int, val valid: Boolean)

/** State of one peer; [ageMilliseconds] is the time since its last message. */
@Serializable
internal data class PeerStatus(
    val name: String,
    val incarnation: String,
    val zone: String,
    val state: String,
    @SerialName("age_ms") val ageMilliseconds: Long,
    @SerialName("bundle_version") val bundleVersion: Long,
)

/** State of one target, the slots of it that this process owns, and its requests in flight from this process. */
@Serializable
internal data class TargetStatus(
    val name: String,
    val service: String,
    val state: String,
    @SerialName("owned_slots") val ownedSlots: Int,
    @SerialName("in_flight") val inFlight: Int,
)
