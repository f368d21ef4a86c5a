package org.anvilshed.benchmark

import org.HdrHistogram.Histogram
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.LongAdder

private const val HIGHEST_MICROSECONDS = 120_000_000L
private const val SIGNIFICANT_DIGITS = 3

/** What became of one request. */
public enum class CallerOutcome {
    /** Whole and correct answer of a target. */
    CORRECT,

    /** Answer of a target with an error status. */
    ERROR_STATUS,

    /** Answer that is not the one to this request, or not whole. */
    WRONG,

    /** Refused, the request did not run. */
    NOT_RUN,

    /** Whether the request ran is unknown. */
    UNKNOWN,

    /** The connection ended before the whole answer arrived, or no answer came in time. */
    CUT,

    /** The connection was refused or no entry VM was known; nothing was sent. */
    NOT_SENT,
}

/** Latency and outcomes of one kind; latency counts from the planned arrival. */
public class KindResult(public val kind: LoadKind) {
    /** Latency of correct answers in microseconds. */
    public val latency: Histogram = Histogram(HIGHEST_MICROSECONDS, SIGNIFICANT_DIGITS)
    private val outcomes = CallerOutcome.entries.associateWith { LongAdder() }
    private val moved = LongAdder()

    /** Number of requests with [outcome]. */
    public fun count(outcome: CallerOutcome): Long = outcomes.getValue(outcome).sum()

    /** Number of requests. */
    public val total: Long get() = outcomes.values.sumOf { it.sum() }

    /** Number of answers that came over more than one entry VM. */
    public val forwarded: Long get() = moved.sum()

    internal fun record(outcome: CallerOutcome, microseconds: Long, isForwarded: Boolean) {
        outcomes.getValue(outcome).increment()
        if (outcome != CallerOutcome.CORRECT) return
        if (isForwarded) moved.increment()
        synchronized(latency) { latency.recordValue(microseconds.coerceIn(0, HIGHEST_MICROSECONDS)) }
    }
}

/** Outcome of one non-idempotent request. */
public data class BookingResult(val identifier: String, val outcome: CallerOutcome)

/** Result of a load. */
public class LoadResult(public val plan: LoadPlan) {
    /** Results by kind, of the measured time only. */
    public val kinds: List<KindResult> = plan.kinds.map(::KindResult)

    /** Non-idempotent requests, also of the warm-up. */
    public val bookings: MutableCollection<BookingResult> = java.util.concurrent.ConcurrentLinkedQueue()

    /** Number of measured requests that did not end with a correct answer, by outcome, reason and entry VM. */
    public val failures: ConcurrentHashMap<String, LongAdder> = ConcurrentHashMap()

    /** Correct answers per second of the run, counted by the time of their arrival. */
    public val correctBySecond: ConcurrentHashMap<Long, LongAdder> = ConcurrentHashMap()

    /** Number of requests with [outcome] over all kinds. */
    public fun count(outcome: CallerOutcome): Long = kinds.sumOf { it.count(outcome) }

    /** Number of measured requests. */
    public val total: Long get() = kinds.sumOf { it.total }

    /** Correct answers weighted by worth, as a fraction of all requests weighted likewise. */
    public val weightedCorrect: Double
        get() = kinds.sumOf { it.count(CallerOutcome.CORRECT).toDouble() * it.kind.worth } /
            kinds.sumOf { it.total.toDouble() * it.kind.worth }.coerceAtLeast(1.0)

    /** Identifiers of bookings that contradict [executions], the targets' log: run twice, or not as answered. */
    public fun contradictions(executions: Map<String, Int>): List<String> = bookings.mapNotNull { booking ->
        val runs = executions[booking.identifier] ?: 0
        val isAllowed = when (booking.outcome) {
            CallerOutcome.CORRECT, CallerOutcome.ERROR_STATUS, CallerOutcome.WRONG -> runs == 1
            CallerOutcome.NOT_RUN, CallerOutcome.NOT_SENT -> runs == 0
            CallerOutcome.UNKNOWN, CallerOutcome.CUT -> runs <= 1
        }
        if (isAllowed) null else "${booking.identifier} ${booking.outcome} ran $runs times"
    }
}
