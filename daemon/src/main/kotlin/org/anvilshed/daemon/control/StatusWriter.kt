package org.anvilshed.daemon.control

import kotlinx.coroutines.delay
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.anvilshed.daemon.http.SeatStatus
import org.anvilshed.daemon.http.StatusReport
import org.anvilshed.daemon.metrics.DaemonMetrics
import org.anvilshed.wire.platform.PlatformClient
import org.anvilshed.wire.platform.PlatformResult
import kotlin.time.Duration.Companion.seconds

private val PERIOD = 5.seconds

/** Status of all VMs of a zone, as the object `status/<zone>`. */
@Serializable
internal data class ZoneStatus(val zone: String, @SerialName("written_by") val writtenBy: String, val vms: List<VmRow>)

/** Row of one VM; [seats] is known for the writer only. */
@Serializable
internal data class VmRow(
    val name: String,
    val incarnation: String,
    val state: String,
    @SerialName("bundle_version") val bundleVersion: Long,
    @SerialName("age_ms") val ageMilliseconds: Long,
    val seats: List<SeatStatus>? = null,
)

/** Writes the status of the zone to the platform while [isWriter] says that this VM is the one to do so. */
internal class StatusWriter(
    private val platform: PlatformClient,
    private val metrics: DaemonMetrics,
    private val zone: String,
    private val report: () -> StatusReport,
    private val isWriter: () -> Boolean,
) {
    private val json = Json { encodeDefaults = true }

    suspend fun run() {
        var version = 0L
        while (true) {
            if (isWriter()) version = write(version)
            delay(PERIOD)
        }
    }

    /** Writes once and returns the version of the object as far as it is known. */
    private suspend fun write(knownVersion: Long): Long {
        val body = json.encodeToString(ZoneStatus.serializer(), statusOf(report())).toByteArray()
        return when (val result = platform.put("status/$zone", body, knownVersion)) {
            is PlatformResult.Success -> result.value

            // The row of a former writer is simply replaced at the next turn.
            is PlatformResult.VersionConflict -> result.currentVersion ?: 0

            is PlatformResult.Failure -> {
                metrics.recordPlatformFailure()
                knownVersion
            }
        }
    }

    private fun statusOf(report: StatusReport): ZoneStatus {
        val own = VmRow(report.name, report.incarnation, report.state, report.bundleVersion, 0, report.seats)
        val others = report.peers.filter { it.zone == zone }.map {
            VmRow(it.name, it.incarnation, it.state, it.bundleVersion, it.ageMilliseconds)
        }
        return ZoneStatus(zone, report.name, (others + own).sortedBy { it.name })
    }
}
