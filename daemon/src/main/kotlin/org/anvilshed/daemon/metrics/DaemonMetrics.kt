package org.anvilshed.daemon.metrics

import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.GaugeWithCallback
import io.prometheus.metrics.core.metrics.Histogram
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import org.anvilshed.core.RefusalReason
import org.anvilshed.core.RetryReason
import org.anvilshed.core.UnknownReason
import org.anvilshed.core.bundle.BundleRejection
import org.anvilshed.daemon.request.ServeResult
import java.io.ByteArrayOutputStream
import kotlin.time.Duration
import kotlin.time.DurationUnit

/** Metrics of one daemon. No label contains a request, caller or address. */
internal class DaemonMetrics {
    private val registry = PrometheusRegistry()
    private val requests = counter("anvilshed_requests", "Requests of callers by outcome.", "outcome")
    private val refusals = counter("anvilshed_refusals", "Requests that did not run, by reason.", "reason")
    private val unknowns = counter("anvilshed_unknown_outcomes", "Requests that may have run, by reason.", "reason")
    private val retries = counter("anvilshed_retries", "Further attempts of requests, by reason.", "reason")
    private val forwarded = counter("anvilshed_peer_requests", "Requests of peers by outcome.", "outcome")
    private val rejections =
        counter("anvilshed_bundle_rejections", "Offered bundles not accepted, by reason.", "reason")
    private val lookups = counter("anvilshed_lookups", "Answered lookups.")
    private val probes = counter("anvilshed_target_probes", "Health probes of targets.")
    private val platformFailures = counter("anvilshed_platform_failures", "Failed calls of the platform.")
    private val strayBytes =
        counter("anvilshed_stray_bytes", "Connections closed for bytes outside a response, by server.", "server")
    private val unexpectedFaults =
        counter(
            "anvilshed_unexpected_faults",
            "Unexpected exceptions, after which a request was ended or work was started again.",
        )
    private val latency = Histogram.builder()
        .name("anvilshed_request_seconds")
        .help("Time from the arrival of a caller's request to its end.")
        .classicOnly()
        .classicUpperBounds(0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0)
        .register(registry)

    init {
        // A reason that has not occurred is exported as 0, so that its rate is defined.
        RefusalReason.entries.forEach { refusals.labelValues(it.label) }
        UnknownReason.entries.forEach { unknowns.labelValues(it.label) }
        RetryReason.entries.forEach { retries.labelValues(it.label) }
        BundleRejection.entries.forEach { rejections.labelValues(it.label) }
    }

    /** Records the outcome of a request of a caller and the [duration] since its arrival. */
    fun recordRequest(result: ServeResult, duration: Duration) {
        requests.labelValues(result.label).inc()
        latency.observe(duration.toDouble(DurationUnit.SECONDS))
        recordReason(result)
    }

    /** Records the outcome of a request that a peer has forwarded. */
    fun recordPeerRequest(result: ServeResult) {
        forwarded.labelValues(result.label).inc()
        recordReason(result)
    }

    fun recordRetry(reason: RetryReason): Unit = retries.labelValues(reason.label).inc()

    fun recordRejection(reason: BundleRejection): Unit = rejections.labelValues(reason.label).inc()

    fun recordLookup(): Unit = lookups.inc()

    fun recordProbe(): Unit = probes.inc()

    fun recordPlatformFailure(): Unit = platformFailures.inc()

    /** Records an unexpected exception in the work of a request, or in work that was started again. */
    fun recordUnexpectedFault(): Unit = unexpectedFaults.inc()

    /** Records that a connection was closed because [server] wrote bytes outside a response. */
    fun recordStrayBytes(server: String): Unit = strayBytes.labelValues(server).inc()

    /** Registers a gauge; [value] is called at each scrape. */
    fun gauge(name: String, help: String, value: () -> Double) {
        GaugeWithCallback.builder().name(name).help(help).callback { it.call(value()) }.register(registry)
    }

    /** Returns all metrics in the Prometheus text format. */
    fun toText(): ByteArray {
        val output = ByteArrayOutputStream()
        PrometheusTextFormatWriter.builder().build().write(output, registry.scrape())
        return output.toByteArray()
    }

    private fun recordReason(result: ServeResult) {
        when (result) {
            is ServeResult.NotRun -> refusals.labelValues(result.reason.label).inc()
            is ServeResult.Unknown -> unknowns.labelValues(result.reason.label).inc()
            ServeResult.Answered, ServeResult.Broken -> Unit
        }
    }

    private fun counter(name: String, help: String, vararg labels: String): Counter =
        Counter.builder().name(name).help(help).labelNames(*labels).register(registry)
}

private val ServeResult.label: String
    get() = when (this) {
        ServeResult.Answered -> "answered"
        ServeResult.Broken -> "broken"
        is ServeResult.NotRun -> "not-run"
        is ServeResult.Unknown -> "unknown"
    }
