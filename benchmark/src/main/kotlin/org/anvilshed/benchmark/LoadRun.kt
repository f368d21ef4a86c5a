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

/** Longer than any deadline of the samples, so that an entry VM always answers first. */
private const val ANSWER_LIMIT_MS = 15_000L
private const val LOOKUP_RETRY_MS = 50L
private const val LOOKUP_LIMIT_NANOSECONDS = 5_000_000_000L
private const val NANOSECONDS_PER_SECOND = 1_000_000_000.0

/**
 * Where a load goes: to entry VMs, which the callers look up, or straight to targets.
 *
 * @property entries URLs of entry VMs to look up at; empty for a load on [targets].
 * @property targets target addresses IP:port by service.
 */
public data class LoadDestination(val entries: List<String>, val targets: Map<String, List<String>> = emptyMap())

/** One open-loop run of [plan]. */
public class LoadRun(private val plan: LoadPlan, private val destination: LoadDestination) : AutoCloseable {
    private val vertx = Vertx.vertx()
    private val client = WebClient.create(
        vertx,
        WebClientOptions().setFollowRedirects(false).setConnectTimeout(CONNECT_TIMEOUT_MS).setTcpNoDelay(true),
        PoolOptions().setHttp1MaxSize(CONNECTIONS_PER_ENTRY),
    )
    private val directory = EntryDirectory(vertx, client, destination.entries)
    private val random = Random(plan.seed)
    private val pending = Phaser(1)
    private val bodies = plan.kinds.associateWith { Buffer.buffer(ByteArray(it.requestBytes)) }

    /** Result; complete after [run]. */
    public val result: LoadResult = LoadResult(plan)

    /** Ends the load early when set; requests in flight still end. */
    @Volatile
    public var isStopped: Boolean = false

    /** Runs the load and returns when the last request has ended. */
    public fun run(): LoadResult {
        directory.start()
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
            pending.register()
            send(Call(number++, pickKind(), arrival, isMeasured = arrival >= measuredFrom, start))
        }
        pending.arriveAndAwaitAdvance()
        directory.stop()
        return result
    }

    override fun close() {
        vertx.close().toCompletionStage().toCompletableFuture().join()
    }

    private class Call(
        val number: Long,
        val kindIndex: Int,
        val arrival: Long,
        val isMeasured: Boolean,
        val runStart: Long,
    )

    private fun awaitEntries() {
        if (destination.entries.isEmpty()) return
        val limit = System.nanoTime() + ANSWER_LIMIT_MS * 1_000_000
        while (directory.usable().isEmpty() && System.nanoTime() < limit) Thread.sleep(10)
    }

    private fun pickKind(): Int {
        var rest = random.nextDouble()
        plan.kinds.forEachIndexed { index, kind ->
            rest -= kind.share
            if (rest < 0) return index
        }
        return plan.kinds.lastIndex
    }

    private fun send(call: Call) {
        val kind = plan.kinds[call.kindIndex]
        val correlation = "${plan.seed}-${call.number}"
        if (destination.entries.isEmpty()) {
            val address = destination.targets.getValue(kind.service).let { it[random.nextInt(it.size)] }
            start(call, correlation, null, address.substringBeforeLast(':'), address.substringAfterLast(':').toInt())
            return
        }
        val entries = directory.usable()
        when {
            entries.isNotEmpty() -> {
                val entry = entries[(call.number % entries.size).toInt()]
                start(call, correlation, entry, entry.host, entry.port)
            }

            // A caller whose entries have expired looks up again before it sends; its latency goes on counting.
            System.nanoTime() - call.arrival < LOOKUP_LIMIT_NANOSECONDS -> vertx.setTimer(LOOKUP_RETRY_MS) {
                send(call)
            }

            else -> finish(call, CallerOutcome.NOT_SENT, "no-entry", null)
        }
    }

    private fun start(call: Call, correlation: String, entry: Entry?, host: String, port: Int) {
        val kind = plan.kinds[call.kindIndex]
        val path = if (entry == null) "/work" else "/v1/services/${kind.service}/work"
        val request = client.request(if (kind.idempotent) HttpMethod.GET else HttpMethod.POST, port, host, path)
            .timeout(ANSWER_LIMIT_MS)
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
                answer.succeeded() -> judge(answer.result(), kind, correlation)
                cause is ConnectException -> CallerOutcome.NOT_SENT
                else -> CallerOutcome.CUT
            }
            if (identifier != null) result.bookings += BookingResult(identifier, outcome)
            val reason = if (answer.succeeded()) reasonOf(answer.result()) else cause.javaClass.simpleName
            finish(call, outcome, "$reason at ${entry?.vm ?: "target"}", answer.result())
        }
    }

    private fun reasonOf(response: HttpResponse<Buffer>): String {
        val reason: String? = response.getHeader("Anvilshed-Reason")
        return reason ?: "status ${response.statusCode()}"
    }

    private fun judge(response: HttpResponse<Buffer>, kind: LoadKind, correlation: String): CallerOutcome {
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

    private fun finish(call: Call, outcome: CallerOutcome, reason: String, response: HttpResponse<Buffer>?) {
        val now = System.nanoTime()
        if (call.isMeasured) {
            val via: String? = response?.getHeader("Anvilshed-Via")
            val isForwarded = via != null && ',' in via
            result.kinds[call.kindIndex].record(outcome, (now - call.arrival) / 1_000, isForwarded)
            if (outcome != CallerOutcome.CORRECT) {
                result.failures.computeIfAbsent("$outcome $reason") { LongAdder() }.increment()
            }
        }
        if (outcome == CallerOutcome.CORRECT) {
            val second = ((now - call.runStart) / NANOSECONDS_PER_SECOND).toLong()
            result.correctBySecond.computeIfAbsent(second) { LongAdder() }.increment()
        }
        pending.arriveAndDeregister()
    }
}
