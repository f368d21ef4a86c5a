package org.anvilshed.gateway.targets

import org.anvilshed.core.MonotonicTime
import org.anvilshed.core.ServiceName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * How long a connection to a target may have been idle when it is used again.
 *
 * Targets may drop idle connections sooner than they state, and the next request on such a connection is reset. Each
 * such reset lowers the limit for all targets of the service, as they run the same software; the limit is forgotten
 * after [MEMORY]. Not thread-safe.
 */
internal class ReuseAgeLimits {
    private class Learned(val limit: Duration, val since: MonotonicTime)

    private val learned = HashMap<ServiceName, Learned>()

    /** Returns the limit for the next request to a target of [service] at [now]. */
    fun limit(service: ServiceName, idempotent: Boolean, now: MonotonicTime): Duration {
        val known = learned[service]?.takeIf { now - it.since < MEMORY }?.limit ?: Duration.INFINITE
        return if (idempotent) known else minOf(known, NON_IDEMPOTENT_LIMIT)
    }

    /** Records that a target of [service] reset a connection that had been idle for [age] when it was used at [now]. */
    fun recordReset(service: ServiceName, age: Duration, now: MonotonicTime) {
        val lowered = (age * LOWERING_FACTOR).takeIf { it >= MINIMUM_LIMIT } ?: Duration.ZERO
        learned[service] = Learned(minOf(lowered, limit(service, idempotent = true, now)), now)
    }

    private companion object {
        /**
         * A target may have closed a connection that was idle for longer, and a non-idempotent request that fails that
         * way can't be retried safely.
         */
        val NON_IDEMPOTENT_LIMIT = 1.seconds

        /** The reset shows only that the connection was dropped at some time before. */
        const val LOWERING_FACTOR = 0.5

        /** Connections are not reused at all below this limit, which is close to the time between two requests. */
        val MINIMUM_LIMIT = 10.milliseconds

        /** Failures that are no dropped connections, such as a crash, must not prevent reuse forever. */
        val MEMORY = 30.seconds
    }
}
