package org.anvilshed.gateway

import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.Gauge
import io.prometheus.metrics.core.metrics.Histogram
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import java.io.ByteArrayOutputStream
import kotlin.time.Duration
import kotlin.time.DurationUnit

/** Counters and histograms of a gateway. Labels have few values that the code fixes, never a request's or target's. */
public class GatewayMetrics {
    private val registry = PrometheusRegistry()

    private val replies = Counter.builder().name("anvilshed_replies_total")
        .help("Final answers to callers by reason.").labelNames("reason").register(registry)
    private val retries = Counter.builder().name("anvilshed_retries_total")
        .help("Requests sent once more by reason.").labelNames("reason").register(registry)
    private val targetFailures = Counter.builder().name("anvilshed_target_failures_total")
        .help("Sends without a usable answer by reason.").labelNames("reason").register(registry)

    @Suppress("SpreadOperator") // The library takes the bounds as variable arguments alone.
    private val latency = Histogram.builder().name("anvilshed_reply_seconds")
        .help("Time from a caller's request to its final answer.").classicOnly()
        .classicUpperBounds(*LATENCY_BOUNDS).register(registry)

    private val queued = Gauge.builder().name("anvilshed_queued_requests")
        .help("Requests that wait for a slot.").register(registry)
    private val members = Gauge.builder().name("anvilshed_live_entry_vms")
        .help("Entry VMs that this one hears, itself included.").register(registry)

    /** Counts a final answer. */
    public fun countReply(reason: String): Unit = replies.labelValues(reason).inc()

    /** Counts a repeat, or one that was not allowed. */
    public fun countRetry(reason: String): Unit = retries.labelValues(reason).inc()

    /** Counts a send without a usable answer. */
    public fun countTargetFailure(reason: String): Unit = targetFailures.labelValues(reason).inc()

    /** Records how long a caller waited. */
    public fun observeLatency(waited: Duration): Unit = latency.observe(waited.toDouble(DurationUnit.SECONDS))

    /** Sets the present sizes. */
    public fun setSizes(queuedRequests: Int, liveEntryVms: Int) {
        queued.set(queuedRequests.toDouble())
        members.set(liveEntryVms.toDouble())
    }

    /** Returns all figures in the Prometheus text format. */
    public fun exposition(): String {
        val output = ByteArrayOutputStream()
        PrometheusTextFormatWriter.create().write(output, registry.scrape())
        return output.toString(Charsets.UTF_8)
    }

    private companion object {
        /** Seconds; the usual work of targets lies between the third and the eighth bound. */
        val LATENCY_BOUNDS = doubleArrayOf(0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2.0, 4.0)
    }
}
