package org.anvilshed.daemon.control

import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpClient
import io.vertx.core.http.HttpMethod
import io.vertx.core.http.RequestOptions
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.anvilshed.core.MonotonicTime
import org.anvilshed.core.TargetName
import org.anvilshed.core.routing.ReportedLoad
import org.anvilshed.core.routing.TargetProbeResult
import org.anvilshed.core.routing.TargetState
import org.anvilshed.daemon.DaemonClock
import org.anvilshed.daemon.metrics.DaemonMetrics
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val STATUS_OK = 200
private val PROBE_TIMEOUT: Duration = 1.seconds

/** A probe costs a target about 6 ms of work, so a target is probed at most once a second. */
private val PROBE_PERIOD: Duration = 1.seconds

/** Period for targets that have answered requests since the last probe: their answers show that they are alive. */
private val ANSWERING_PROBE_PERIOD: Duration = 3.seconds

/** Sends health probes to targets. Used on the control thread. */
internal class HealthMonitor(
    private val client: HttpClient,
    private val clock: DaemonClock,
    private val metrics: DaemonMetrics,
    private val control: CoroutineScope,
) {
    private class Probe(var startedAt: MonotonicTime, var running: Boolean, var latencyBefore: Double)

    private val probes = HashMap<TargetName, Probe>()
    private val json = Json { ignoreUnknownKeys = true }

    /** Starts the probes of [targets] that are due. Must be called several times a second. */
    fun probe(targets: Collection<TargetState>) {
        probes.keys.retainAll(targets.mapTo(HashSet()) { it.name })
        val now = clock.now()
        for (target in targets) {
            val last = probes[target.name]
            if (last != null && (last.running || now - last.startedAt < periodOf(target, last))) continue
            val entry = Probe(now, running = true, latencyBefore = target.latencyNanoseconds)
            probes[target.name] = entry
            control.launch {
                try {
                    probe(target)
                } finally {
                    entry.running = false
                }
            }
        }
    }

    private fun periodOf(target: TargetState, last: Probe): Duration =
        if (target.latencyNanoseconds != last.latencyBefore) ANSWERING_PROBE_PERIOD else PROBE_PERIOD

    private suspend fun probe(target: TargetState) {
        metrics.recordProbe()
        val report = requestHealth(target)
        val now = clock.now()
        if (report == null) {
            target.recordHealth(TargetProbeResult.UNREACHABLE, load = null, measuredAt = now)
            return
        }
        val measuredAt = now - report.ageMilliseconds.coerceIn(0, Int.MAX_VALUE.toLong()).milliseconds
        val health = when (report.state) {
            "draining" -> TargetProbeResult.DRAINING
            "cold" -> TargetProbeResult.COLD
            else -> TargetProbeResult.READY
        }
        target.recordHealth(health, ReportedLoad(report.slots, report.inFlight + report.queued, measuredAt), measuredAt)
    }

    private suspend fun requestHealth(target: TargetState): HealthReport? {
        val options = RequestOptions()
            .setMethod(HttpMethod.GET)
            .setHost(target.address.substringBeforeLast(':').removeSurrounding("[", "]"))
            .setPort(target.address.substringAfterLast(':').toInt())
            .setURI("/health")
            .setTimeout(PROBE_TIMEOUT.inWholeMilliseconds)
        return try {
            val response = client.request(options).compose { request ->
                request.send().compose { response -> response.body().map { response.statusCode() to it } }
            }.coAwait()
            response.takeIf { it.first == STATUS_OK }?.second?.let(::parse)
        } catch (cancelled: CancellationException) {
            throw cancelled
        } catch (@Suppress("TooGenericExceptionCaught") _: Exception) {
            // Vert.x reports lost connections and timeouts as exceptions of many types.
            null
        }
    }

    private fun parse(body: Buffer): HealthReport? = try {
        json.decodeFromString(HealthReport.serializer(), body.toString())
    } catch (_: SerializationException) {
        null
    }
}

@Serializable
private data class HealthReport(
    val state: String,
    val slots: Int,
    @SerialName("in_flight") val inFlight: Int,
    val queued: Int = 0,
    @SerialName("age_ms") val ageMilliseconds: Long = 0,
)
