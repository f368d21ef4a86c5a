package org.anvilshed.benchmark

import org.HdrHistogram.Histogram
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.LongAdder

private const val MAXIMUM_LATENCY_MICROSECONDS = 120_000_000L
private const val SIGNIFICANT_DIGITS = 3

/** Outcome of one request as its caller sees it. */
public enum class CallerOutcome {
    /** Complete and correct answer of a target. */
    CORRECT,

    /** Answer of a target with an error status. */
    ERROR_STATUS,

    /** Incomplete answer, or the answer to another request. */
    WRONG,

    /** Refused; the request did not run. */
    NOT_RUN,

    /** An entry VM answered that it does not know whether the request ran. */
    UNKNOWN,

    /** The connection ended before the complete answer arrived, or no answer arrived in time. */
    CUT,

    /** The connection was refused or no entry VM was known; nothing was sent. */
    NOT_SENT,
}

/** Latency and outcomes of one request kind; latency counts from the planned arrival. */
public class KindResult(public val kind: LoadRequestKind) {
    /** Latency of correct answers in microseconds. */
    public val latency: Histogram = Histogram(MAXIMUM_LATENCY_MICROSECONDS, SIGNIFICANT_DIGITS)
    private val outcomes = CallerOutcome.entries.associateWith { LongAdder() }
    private val forwardedCount = LongAdder()

    /** Number of requests with [outcome]. */
    public fun count(outcome: CallerOutcome): Long = outcomes.getValue(outcome).sum()

    /** Number of requests. */
    public val total: Long get() = outcomes.values.sumOf { it.sum() }

    /** Number of correct answers that passed through more than one entry VM. */
    public val forwarded: Long get() = forwardedCount.sum()

    internal fun record(outcome: CallerOutcome, microseconds: Long, isForwarded: Boolean) {
        outcomes.getValue(outcome).increment()
        if (outcome != CallerOutcome.CORRECT) return
        if (isForwarded) forwardedCount.increment()
        synchronized(latency) { latency.recordValue(microseconds.coerceIn(0, MAXIMUM_LATENCY_MICROSECONDS)) }
    }
}

/**
 * Outcome of one non-idempotent request.
 *
 * @property identifier request identifier that the caller sent.
 */
public data class WriteResult(val identifier: String, val outcome: CallerOutcome)

/** Outcomes and latency of the requests of a load. */
public class LoadResult(public val plan: LoadPlan) {
    /** Results by request kind, in the order of the plan; of the measured time only. */
    public val kinds: List<KindResult> = plan.kinds.map(::KindResult)

    /** Outcomes of the non-idempotent requests, also of the warm-up. */
    public val writes: MutableCollection<WriteResult> = java.util.concurrent.ConcurrentLinkedQueue()

    /** Number of measured requests that did not end with a correct answer, by outcome, reason and entry VM. */
    public val failures: ConcurrentHashMap<String, LongAdder> = ConcurrentHashMap()

    /** Correct answers by second since the start of the run, counted when the answer arrives; also of the warm-up. */
    public val correctBySecond: ConcurrentHashMap<Long, LongAdder> = ConcurrentHashMap()

    /** Number of measured requests with [outcome], of all kinds. */
    public fun count(outcome: CallerOutcome): Long = kinds.sumOf { it.count(outcome) }

    /** Number of measured requests. */
    public val total: Long get() = kinds.sumOf { it.total }

    /** Correct answers as a fraction of all requests, both weighted by priority; 0 without requests. */
    public val weightedCorrect: Double
        get() = kinds.sumOf { it.count(CallerOutcome.CORRECT).toDouble() * it.kind.priority } /
            kinds.sumOf { it.total.toDouble() * it.kind.priority }.coerceAtLeast(1.0)

    /**
     * Returns a description of each non-idempotent request that ran more than once or whose outcome contradicts the
     * targets' log.
     *
     * @param executions how often the targets ran each request, by request identifier.
     */
    public fun contradictions(executions: Map<String, Int>): List<String> = writes.mapNotNull { write ->
        val runs = executions[write.identifier] ?: 0
        val isAllowed = when (write.outcome) {
            CallerOutcome.CORRECT, CallerOutcome.ERROR_STATUS, CallerOutcome.WRONG -> runs == 1
            CallerOutcome.NOT_RUN, CallerOutcome.NOT_SENT -> runs == 0
            CallerOutcome.UNKNOWN, CallerOutcome.CUT -> runs <= 1
        }
        if (isAllowed) null else "${write.identifier} ${write.outcome} ran $runs times"
    }
}
