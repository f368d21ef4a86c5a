package org.anvilshed.benchmark

import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive

private const val COLUMN_GAP = 2

/** Table of measured values with a title; printed as text or JSON. */
public class ReportTable(public val title: String, private val columns: List<String>) {
    private val rows = ArrayList<List<Any>>()

    /** Adds a row of [values], one text or number per column. */
    public fun add(vararg values: Any) {
        rows += values.toList()
    }

    /** Returns the table as text with aligned columns. */
    public fun toText(): String {
        val lines = listOf(columns) + rows.map { row -> row.map(::format) }
        val widths = columns.indices.map { column -> lines.maxOf { it[column].length } + COLUMN_GAP }
        return "$title\n" + lines.joinToString("\n") { line ->
            line.mapIndexed { column, text ->
                if (column == 0) text.padEnd(widths[0]) else text.padStart(widths[column])
            }.joinToString("").trimEnd()
        }
    }

    /** Returns each row as a JSON object with the columns as keys. */
    public fun toJson(): List<JsonElement> = rows.map { row ->
        JsonObject(
            columns.zip(
                row.map {
                    if (it is Number) JsonPrimitive(it) else JsonPrimitive(it.toString())
                },
            ).toMap(),
        )
    }

    private fun format(value: Any): String = if (value is Double) "%.3f".format(value) else value.toString()
}

private const val MICROSECONDS_PER_MS = 1_000.0

/** Returns the outcomes and the latency (milliseconds) of [result] by request kind. */
public fun kindTable(title: String, result: LoadResult): ReportTable {
    val table = ReportTable(
        title,
        "kind,requests,correct,not-run,unknown,cut,other,forwarded,p50 ms,p99 ms,p99.9 ms".split(','),
    )
    for (kind in result.kinds) {
        val correct = kind.count(CallerOutcome.CORRECT)
        val failedCounts = listOf(CallerOutcome.NOT_RUN, CallerOutcome.UNKNOWN, CallerOutcome.CUT).map {
            kind.count(it)
        }
        table.add(
            "${kind.kind.service}/${kind.kind.kind}",
            kind.total,
            correct,
            failedCounts[0],
            failedCounts[1],
            failedCounts[2],
            kind.total - correct - failedCounts.sum(),
            kind.forwarded,
            kind.latency.getValueAtPercentile(50.0) / MICROSECONDS_PER_MS,
            kind.latency.getValueAtPercentile(99.0) / MICROSECONDS_PER_MS,
            kind.latency.getValueAtPercentile(99.9) / MICROSECONDS_PER_MS,
        )
    }
    return table
}

/** Returns the number of measured requests without a correct answer, by outcome and reason. */
public fun failureTable(result: LoadResult): ReportTable =
    ReportTable("requests without a correct answer, by reason", listOf("reason", "requests")).also { table ->
        // The key ends with the entry VM, over which this table sums up.
        result.failures.entries.groupBy({ it.key.substringBefore(" at ") }, { it.value.sum() })
            .toSortedMap().forEach { (reason, counts) -> table.add(reason, counts.sum()) }
    }
