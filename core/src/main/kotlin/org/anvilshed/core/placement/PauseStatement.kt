package org.anvilshed.core.placement

import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.seconds

private val DECIMAL_NUMBER = Regex("""\d{1,15}(\.\d+)?""")

/** A target that wants a longer pause can ask for it again. */
private val LONGEST_PAUSE = 1.hours

/**
 * Returns for how long a target that turned a request away wants no more requests from this VM, by the [values] of the
 * header `Retry-After` (RFC 9110, section 10.2.3); of several, the longest one counts.
 *
 * Returns `null` without a positive number of seconds, which may have a fraction. Dates are not taken, as the clocks of
 * VMs and targets may differ by more than the pause.
 */
public fun parsePauseOrNull(values: List<String>): Duration? = values.flatMap { it.split(',') }.map { it.trim() }
    .filter(DECIMAL_NUMBER::matches).maxOfOrNull { it.toDouble() }
    ?.takeIf { it > 0 }?.seconds?.coerceAtMost(LONGEST_PAUSE)
