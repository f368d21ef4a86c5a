package org.anvilshed.daemon.control

import kotlinx.coroutines.delay
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.anvilshed.daemon.http.ShareStatus
import org.anvilshed.daemon.http.StatusReport
import org.anvilshed.daemon.metrics.DaemonMetrics
import org.anvilshed.wire.platform.PlatformClient
import org.anvilshed.wire.platform.PlatformResult
import kotlin.time.Duration.Companion.seconds

private val PERIOD = 5.seconds

/** Status of all VMs of a zone, stored on the platform as the object `status/<zone>`. */
@Serializable
internal data class ZoneStatus(val zone: String, @SerialName("written_by") val writtenBy: String, val vms: List<VmRow>)

/** Status of one VM of a zone; [shares] is known for the writing VM only, and `null` for all others. */
@Serializable
internal data class VmRow(
    val name: String,
    val incarnation: String,
    val state: String,
    @SerialName("bundle_version") val bundleVersion: Long,
    @SerialName("age_ms") val ageMilliseconds: Long,
    @SerialName("seats") val shares: List<ShareStatus>? = null,
)

/** Writes the status of the zone to the platform periodically while [isWriter] returns `true`. */
internal class StatusWriter(
    private val platform: PlatformClient,
    private val metrics: DaemonMetrics,
    private val zone: String,
    private val report: () -> StatusReport,
    private val isWriter: () -> Boolean,
) {
    private val json = Json { encodeDefaults = true }

    /** Writes the status until the coroutine is cancelled. */
    suspend fun run() {
        var version = 0L
        while (true) {
            if (isWriter()) version = write(version)
            delay(PERIOD)
        }
    }

    /** Writes the status once and returns the latest known version of the object. */
    private suspend fun write(knownVersion: Long): Long {
        val body = json.encodeToString(ZoneStatus.serializer(), statusOf(report())).toByteArray()
        return when (val result = platform.put("status/$zone", body, knownVersion)) {
            is PlatformResult.Success -> result.value

            // Another VM has written the object, which is replaced at the next write.
            is PlatformResult.VersionConflict -> result.currentVersion ?: 0

            is PlatformResult.Failure -> {
                metrics.recordPlatformFailure()
                knownVersion
            }
        }
    }

    private fun statusOf(report: StatusReport): ZoneStatus {
        val own = VmRow(report.name, report.incarnation, report.state, report.bundleVersion, 0, report.shares)
        val others = report.peers.filter { it.zone == zone }.map {
            VmRow(it.name, it.incarnation, it.state, it.bundleVersion, it.ageMilliseconds)
        }
        return ZoneStatus(zone, report.name, (others + own).sortedBy { it.name })
    }
}
