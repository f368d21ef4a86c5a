package org.anvilshed.core.placement

/** What one response of a target states about the rate of requests that the target takes from all VMs together. */
public sealed interface RateLimitStatement {
    /** The target takes [requestsPerSecond] requests per second, which is 0 or more. */
    public data class Limited(public val requestsPerSecond: Double) : RateLimitStatement

    /** The response states no limit, so a limit that the target stated earlier has ended. */
    public data object Unlimited : RateLimitStatement

    /** The response states a limit that can't be read; a limit that the target stated earlier remains. */
    public data object Unreadable : RateLimitStatement

    public companion object {
        private val DECIMAL_NUMBER = Regex("""\d+(\.\d+)?""")

        /** Returns the statement in [values] of the header; of several numbers, the lowest one counts. */
        public fun parse(values: List<String>): RateLimitStatement {
            if (values.isEmpty()) return Unlimited
            val rates = values.flatMap { it.split(',') }.map { it.trim() }
                .filter(DECIMAL_NUMBER::matches).map { it.toDouble() }
            return rates.minOrNull()?.let(::Limited) ?: Unreadable
        }
    }
}
