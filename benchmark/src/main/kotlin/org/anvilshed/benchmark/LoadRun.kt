package org.anvilshed.benchmark

import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpMethod
import io.vertx.core.http.PoolOptions
import io.vertx.ext.web.client.HttpResponse
import io.vertx.ext.web.client.WebClient
import io.vertx.ext.web.client.WebClientOptions
import java.net.ConnectException
import java.util.Random
import java.util.concurrent.Phaser
import java.util.concurrent.atomic.LongAdder
import java.util.concurrent.locks.LockSupport
import kotlin.math.ln

private const val CONNECTIONS_PER_ENTRY = 400
private const val CONNECT_TIMEOUT_MS = 1_000

/** Longer than any deadline of the samples, so that an entry VM always answers before the caller gives up. */
private const val ANSWER_TIMEOUT_MS = 15_000L
private const val ENTRY_RETRY_MS = 50L
private const val ENTRY_WAIT_LIMIT_NANOSECONDS = 5_000_000_000L
private const val NANOSECONDS_PER_SECOND = 1_000_000_000.0

/**
 * Destination of a load: entry VMs, which the callers look up, or targets directly.
 *
 * @property entryUrls URLs of the entry VMs that answer the lookups; empty for a load sent straight to targets.
 * @property targetAddresses target addresses (IP:port) by service; used only if [entryUrls] is empty.
 */
public data class LoadDestination(
    val entryUrls: List<String>,
    val targetAddresses: Map<String, List<String>> = emptyMap(),
)

/** Sends the load of [plan] to [destination] once: each request at its planned time, however late others end. */
public class LoadRun(private val plan: LoadPlan, private val destination: LoadDestination) : AutoCloseable {
    private val vertx = Vertx.vertx()
    private val client = WebClient.create(
        vertx,
        WebClientOptions().setFollowRedirects(false).setConnectTimeout(CONNECT_TIMEOUT_MS).setTcpNoDelay(true),
        PoolOptions().setHttp1MaxSize(CONNECTIONS_PER_ENTRY),
    )
    private val lookups = EntryLookupCache(vertx, client, destination.entryUrls)
    private val random = Random(plan.seed)
    private val unfinished = Phaser(1)
    private val bodies = plan.kinds.associateWith { Buffer.buffer(ByteArray(it.requestBytes)) }

    /** Result so far; complete when [run] has returned. */
    public val result: LoadResult = LoadResult(plan)

    /** Set to end the load early; [run] still waits for the requests in flight. */
    @Volatile
    public var isStopped: Boolean = false

    /** Runs the load and returns when the last request has ended. */
    public fun run(): LoadResult {
        lookups.start()
        awaitEntries()
        val start = System.nanoTime()
        val measuredFrom = start + plan.warmUp.inWholeNanoseconds
        val end = measuredFrom + plan.duration.inWholeNanoseconds
        var arrival = start
        var number = 0L
        while (!isStopped) {
            arrival += (-ln(1.0 - random.nextDouble()) / plan.rate * NANOSECONDS_PER_SECOND).toLong()
            if (arrival >= end) break
            while (System.nanoTime() < arrival) LockSupport.parkNanos(arrival - System.nanoTime())
            unfinished.register()
            dispatch(PlannedRequest(number++, pickKind(), arrival, isMeasured = arrival >= measuredFrom, start))
        }
        unfinished.arriveAndAwaitAdvance()
        lookups.stop()
        return result
    }

    override fun close() {
        vertx.close().toCompletionStage().toCompletableFuture().join()
    }

    /** Request of the load; its times are values of `System.nanoTime`. */
    private class PlannedRequest(
        val number: Long,
        val kindIndex: Int,
        val arrival: Long,
        val isMeasured: Boolean,
        val runStart: Long,
    )

    private fun awaitEntries() {
        if (destination.entryUrls.isEmpty()) return
        val limit = System.nanoTime() + ANSWER_TIMEOUT_MS * 1_000_000
        while (lookups.usableEntries().isEmpty() && System.nanoTime() < limit) Thread.sleep(10)
    }

    private fun pickKind(): Int {
        var remainder = random.nextDouble()
        plan.kinds.forEachIndexed { index, kind ->
            remainder -= kind.fraction
            if (remainder < 0) return index
        }
        return plan.kinds.lastIndex
    }

    private fun dispatch(planned: PlannedRequest) {
        val kind = plan.kinds[planned.kindIndex]
        val correlation = "${plan.seed}-${planned.number}"
        if (destination.entryUrls.isEmpty()) {
            val address = destination.targetAddresses.getValue(kind.service).let { it[random.nextInt(it.size)] }
            send(planned, correlation, null, address.substringBeforeLast(':'), address.substringAfterLast(':').toInt())
            return
        }
        val entries = lookups.usableEntries()
        when {
            entries.isNotEmpty() -> {
                val entry = entries[(planned.number % entries.size).toInt()]
                send(planned, correlation, entry, entry.host, entry.port)
            }

            // A caller whose entries have expired waits for the next lookup; the wait counts as latency.
            System.nanoTime() - planned.arrival < ENTRY_WAIT_LIMIT_NANOSECONDS -> vertx.setTimer(ENTRY_RETRY_MS) {
                dispatch(planned)
            }

            else -> finish(planned, CallerOutcome.NOT_SENT, "no-entry", null)
        }
    }

    private fun send(planned: PlannedRequest, correlation: String, entry: LookupEntry?, host: String, port: Int) {
        val kind = plan.kinds[planned.kindIndex]
        val path = if (entry == null) "/work" else "/v1/services/${kind.service}/work"
        val request = client.request(if (kind.idempotent) HttpMethod.GET else HttpMethod.POST, port, host, path)
            .timeout(ANSWER_TIMEOUT_MS)
            .putHeader("Correlation", correlation)
            .putHeader("Work-Ms", kind.workMs.toString())
            .putHeader("Response-Bytes", kind.responseBytes.toString())
            .putHeader("Anvilshed-Kind", kind.kind)
        val identifier = if (kind.idempotent || entry == null) null else "${entry.token}.request-$correlation"
        identifier?.let { request.putHeader("Anvilshed-Request-Id", it) }
        val sent = if (kind.idempotent) request.send() else request.sendBuffer(bodies.getValue(kind))
        sent.onComplete { answer ->
            val cause = answer.cause()
            val outcome = when {
                answer.succeeded() -> classify(answer.result(), kind, correlation)
                cause is ConnectException -> CallerOutcome.NOT_SENT
                else -> CallerOutcome.CUT
            }
            if (identifier != null) result.writes += WriteResult(identifier, outcome)
            val reason = if (answer.succeeded()) reasonOf(answer.result()) else cause.javaClass.simpleName
            finish(planned, outcome, "$reason at ${entry?.vm ?: "target"}", answer.result())
        }
    }

    private fun reasonOf(response: HttpResponse<Buffer>): String {
        val reason: String? = response.getHeader("Anvilshed-Reason")
        return reason ?: "status ${response.statusCode()}"
    }

    private fun classify(response: HttpResponse<Buffer>, kind: LoadRequestKind, correlation: String): CallerOutcome {
        val outcome: String? = response.getHeader("Anvilshed-Outcome")
        val body: Buffer? = response.body()
        return when {
            outcome == "not-run" -> CallerOutcome.NOT_RUN
            outcome == "unknown" -> CallerOutcome.UNKNOWN
            response.statusCode() != 200 -> CallerOutcome.ERROR_STATUS
            body == null || body.length() != kind.responseBytes -> CallerOutcome.WRONG
            "\"correlation\":\"$correlation\"" !in body.toString() -> CallerOutcome.WRONG
            else -> CallerOutcome.CORRECT
        }
    }

    private fun finish(
        planned: PlannedRequest,
        outcome: CallerOutcome,
        reason: String,
        response: HttpResponse<Buffer>?,
    ) {
        val now = System.nanoTime()
        if (planned.isMeasured) {
            val via: String? = response?.getHeader("Anvilshed-Via")
            val isForwarded = via != null && ',' in via
            result.kinds[planned.kindIndex].record(outcome, (now - planned.arrival) / 1_000, isForwarded)
            if (outcome != CallerOutcome.CORRECT) {
                result.failures.computeIfAbsent("$outcome $reason") { LongAdder() }.increment()
            }
        }
        if (outcome == CallerOutcome.CORRECT) {
            val second = ((now - planned.runStart) / NANOSECONDS_PER_SECOND).toLong()
            result.correctBySecond.computeIfAbsent(second) { LongAdder() }.increment()
        }
        unfinished.arriveAndDeregister()
    }
}
