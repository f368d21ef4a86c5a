package org.anvilshed.gateway.requests

import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds

private val DECIMAL_NUMBER = Regex("""-?\d+(\.\d*)?""")

/** No route lets a request wait for longer. */
private val LONGEST_TIME_LIMIT = 1.hours

/**
 * Returns the time limit that a caller states as a number of milliseconds, which may have a fraction; a limit that has
 * passed is zero. Returns `null` if [text] is no such number.
 */
internal fun parseTimeLimitOrNull(text: String): Duration? =
    text.trim().takeIf(DECIMAL_NUMBER::matches)?.toDouble()?.milliseconds?.coerceIn(Duration.ZERO, LONGEST_TIME_LIMIT)
