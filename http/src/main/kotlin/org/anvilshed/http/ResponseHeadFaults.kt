package org.anvilshed.http

private const val VERSION_PREFIX = "HTTP/1."
private val VERSIONS = setOf("HTTP/1.1", "HTTP/1.0")
private val STATUS = Regex("[1-5]\\d\\d")

/** Beginning of a status line, as it stands in a line that was merged with the line before. */
private val NEXT_STATUS_LINE = Regex("HTTP/1\\.[01] \\d{3}(\\D|$)")

/**
 * Returns what shows that a status line is not the line of one response, or `null` if nothing does.
 *
 * A line that the peer began earlier and never ended becomes the beginning of the next status line.
 *
 * @param version first word of the line.
 * @param status second word of the line.
 * @param reason rest of the line.
 * @see <a href="https://www.rfc-editor.org/rfc/rfc9112.html#name-status-line">RFC 9112, section 4</a>
 */
internal fun statusLineFaultOrNull(version: String, status: String, reason: String): String? = when {
    version !in VERSIONS -> "unknown version"
    !STATUS.matches(status) -> "status is not a number of three digits"
    VERSION_PREFIX in reason -> "second version in the reason phrase"
    status == "101" -> "change of protocol that was not requested"
    else -> null
}

/** Returns whether the value of a field contains the status line of another response. */
internal fun containsStatusLine(fieldValue: String): Boolean =
    VERSION_PREFIX in fieldValue && NEXT_STATUS_LINE.containsMatchIn(fieldValue)

/**
 * Returns whether a status line begins in [body], which [next] followed on the connection.
 *
 * If bytes outside a response follow a body with a status line, the body was cut short, and a later response filled it.
 */
public fun isFilledByNextResponse(body: String, next: String): Boolean {
    val line = NEXT_STATUS_LINE.find(body + next) ?: return false
    return line.range.first < body.length
}
