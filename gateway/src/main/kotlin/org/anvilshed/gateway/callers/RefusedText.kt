package org.anvilshed.gateway.callers

import org.anvilshed.http.printable

/**
 * Samples of what callers sent, for the log: short, printable, and without the values of headers that hold secrets.
 */
internal object RefusedText {
    private const val MAXIMUM_LENGTH = 120
    private val REQUEST_LINE = Regex("""[!-~]+ [!-~]+ HTTP/\d\.\d""")
    private val FIELD_LINE = Regex("""[!#$%&'*+.^_`|~0-9A-Za-z-]+:[\t -~\x80-\xff]*""")
    private val FRAMING = Regex("""(content-length|transfer-encoding)\s*:.*""", RegexOption.IGNORE_CASE)
    private val SECRET = Regex("""^.*?(authorization|cookie)""", RegexOption.IGNORE_CASE)

    /** Returns the beginning of [text] with all characters but printable ASCII as `\xNN`. */
    fun sample(text: String): String = buildString {
        for (char in text) {
            if (length >= MAXIMUM_LENGTH) {
                append("...")
                return@buildString
            }
            append(printable(char))
        }
    }

    /**
     * Returns a sample of the line of [head] that made it invalid: the first one that is no request line or field line,
     * else the lines that state the length of the body, else the longest one.
     *
     * @param startsWithRequestLine whether [head] starts with the first byte of the request.
     */
    fun offendingLine(head: String, startsWithRequestLine: Boolean): String {
        val rawLines = head.substringBefore("\n\r\n").trimStart('\r', '\n').split('\n')
        val lines = redact(rawLines.map { it.removeSuffix("\r") })
        val offending = lines.withIndex().firstOrNull { (index, line) ->
            val form = if (index == 0 && startsWithRequestLine) REQUEST_LINE else FIELD_LINE
            // The end of the last line may not have arrived.
            val endsInLineFeed = index < lines.lastIndex && !rawLines[index].endsWith('\r')
            endsInLineFeed || !form.matches(line)
        }
        if (offending != null) return sample(offending.value)
        val framing = lines.filter(FRAMING::matches).joinToString("; ")
        return sample(framing.ifEmpty { lines.maxBy { it.length } })
    }

    private fun redact(lines: List<String>): List<String> {
        var isSecret = false
        return lines.map { line ->
            val secret = SECRET.find(line)
            isSecret = secret != null || (isSecret && line.startsWith(' ')) || (isSecret && line.startsWith('\t'))
            if (isSecret) "${secret?.value.orEmpty()}: (not shown)" else line
        }
    }
}
