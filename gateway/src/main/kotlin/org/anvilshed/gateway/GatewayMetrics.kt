package org.anvilshed.gateway

import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.Gauge
import io.prometheus.metrics.core.metrics.Histogram
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import java.io.ByteArrayOutputStream
import kotlin.time.Duration
import kotlin.time.DurationUnit

/** Metrics of a gateway. Label values come from a small fixed set in the code, never from requests or targets. */
public class GatewayMetrics {
    private val registry = PrometheusRegistry()

    private val replies = Counter.builder().name("anvilshed_replies_total")
        .help("Final answers to callers by reason.").labelNames("reason").register(registry)
    private val ownClientErrors = Counter.builder().name("anvilshed_own_client_errors_total")
        .help("Final answers with a status from 400 to 499 that no target gave, by status and reason.")
        .labelNames("status", "reason").register(registry)
    private val retries = Counter.builder().name("anvilshed_retries_total")
        .help("Requests sent once more by reason.").labelNames("reason").register(registry)
    private val targetFailures = Counter.builder().name("anvilshed_target_failures_total")
        .help("Sends without a usable answer by reason.").labelNames("reason").register(registry)

    private val sends = Counter.builder().name("anvilshed_target_sends_total")
        .help("Requests sent to targets by the limit that the target had: none, cold, stated, cold-and-stated.")
        .labelNames("limit").register(registry)

    @Suppress("SpreadOperator") // The library accepts the bounds only as variable arguments.
    private val latency = Histogram.builder().name("anvilshed_reply_seconds")
        .help("Time from a caller's request to its final answer.").classicOnly()
        .classicUpperBounds(*LATENCY_BOUNDS_SECONDS).register(registry)

    private val queued = Gauge.builder().name("anvilshed_queued_requests")
        .help("Requests that wait for a slot.").register(registry)
    private val limitedTargets = Gauge.builder().name("anvilshed_rate_limited_targets")
        .help("Targets that state a limit on the rate of requests.").register(registry)
    private val suspended = Gauge.builder().name("anvilshed_suspended_requests")
        .help("Requests that are refused because targets ended while they had them.").register(registry)
    private val liveVms = Gauge.builder().name("anvilshed_live_entry_vms")
        .help("Entry VMs that this one hears, itself included.").register(registry)
    private val storeCalls = Gauge.builder().name("anvilshed_store_calls")
        .help("Calls to the store in progress by what they wait for: connection, response.")
        .labelNames("waiting_for").register(registry)
    private val storeRenewals = Counter.builder().name("anvilshed_store_renewals_total")
        .help("Times that all connections to the store were replaced because some had gone silent.").register(registry)

    private val strayBytes = Counter.builder().name("anvilshed_stray_bytes_total")
        .help("Connections closed because of bytes outside a response, by the server: target, store, peer.")
        .labelNames("server").register(registry)

    private val unexpectedFaults = Counter.builder().name("anvilshed_unexpected_faults_total")
        .help("Unexpected exceptions after which work of the process was started again.").register(registry)

    /** Counts an unexpected exception after which work was started again. */
    public fun countUnexpectedFault(): Unit = unexpectedFaults.inc()

    /** Counts a connection that was closed because [server] wrote bytes outside a response. */
    public fun countStrayBytes(server: String): Unit = strayBytes.labelValues(server).inc()

    /** Counts a replacement of all connections to the store. */
    public fun countStoreRenewal(): Unit = storeRenewals.inc()

    /** Counts a final response to a caller. */
    public fun countReply(reason: String): Unit = replies.labelValues(reason).inc()

    /** Counts a final response with a [status] from 400 to 499 that this VM made itself. */
    public fun countOwnClientError(status: Int, reason: String): Unit =
        ownClientErrors.labelValues(status.toString(), reason).inc()

    /** Counts a retry, or a retry that the budget did not allow. */
    public fun countRetry(reason: String): Unit = retries.labelValues(reason).inc()

    /** Counts a request to a target without a usable response. */
    public fun countTargetFailure(reason: String): Unit = targetFailures.labelValues(reason).inc()

    /** Counts a request that was sent to a target; [isLimited] if the target states a rate limit. */
    public fun countSend(isLimited: Boolean, isCold: Boolean) {
        val limit = listOfNotNull("cold".takeIf { isCold }, "stated".takeIf { isLimited }).joinToString("-and-")
        sends.labelValues(limit.ifEmpty { "none" }).inc()
    }

    /** Records the time from a caller's request to its final response. */
    public fun observeLatency(waited: Duration): Unit = latency.observe(waited.toDouble(DurationUnit.SECONDS))

    /** Sets the gauges. */
    public fun setGauges(
        queuedRequests: Int,
        rateLimitedTargets: Int,
        suspendedRequests: Int,
        liveEntryVms: Int,
        storeCalls: PendingCalls,
    ) {
        queued.set(queuedRequests.toDouble())
        limitedTargets.set(rateLimitedTargets.toDouble())
        suspended.set(suspendedRequests.toDouble())
        liveVms.set(liveEntryVms.toDouble())
        this.storeCalls.labelValues("connection").set(storeCalls.forConnection.toDouble())
        this.storeCalls.labelValues("response").set(storeCalls.forResponse.toDouble())
    }

    /** Returns all metrics in the Prometheus text format. */
    public fun exposition(): String {
        val output = ByteArrayOutputStream()
        PrometheusTextFormatWriter.create().write(output, registry.scrape())
        return output.toString(Charsets.UTF_8)
    }

    private companion object {
        /** The usual work of targets takes between the third and the eighth bound. */
        val LATENCY_BOUNDS_SECONDS = doubleArrayOf(0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2.0, 4.0)
    }
}
