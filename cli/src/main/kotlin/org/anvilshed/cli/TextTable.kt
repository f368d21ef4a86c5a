package org.anvilshed.cli

/** Returns [rows] under [header] with aligned columns. */
internal fun textTable(header: List<String>, rows: List<List<String>>): String {
    val widths = header.indices.map { column -> (rows + listOf(header)).maxOf { it[column].length } }
    return (listOf(header) + rows).joinToString("\n") { row ->
        row.mapIndexed { column, cell -> cell.padEnd(widths[column]) }.joinToString("  ").trimEnd()
    }
}
