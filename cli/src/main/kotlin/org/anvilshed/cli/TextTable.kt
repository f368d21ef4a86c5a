package org.anvilshed.cli

/** Returns a text table of [header] and [rows] with left-aligned columns. */
internal fun textTable(header: List<String>, rows: List<List<String>>): String {
    val widths = header.indices.map { column -> (rows + listOf(header)).maxOf { it[column].length } }
    return (listOf(header) + rows).joinToString("\n") { row ->
        row.mapIndexed { column, cell -> cell.padEnd(widths[column]) }.joinToString("  ").trimEnd()
    }
}
