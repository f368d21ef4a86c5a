package org.anvilshed.core.limits

import java.util.concurrent.atomic.AtomicInteger

/**
 * Budget of the retries of one service: each first attempt earns a tenth of a retry, and a limited number is saved up.
 * All methods may be called by any thread.
 */
public class RetryTokenBucket {
    private val tenths = AtomicInteger(BURST * TENTHS)

    /** Records the first attempt of a request. */
    public fun recordFirstAttempt() {
        tenths.updateAndGet { minOf(it + 1, BURST * TENTHS) }
    }

    /** Takes one retry, whatever its reason, from the budget; returns whether one was available. */
    public fun tryRetry(): Boolean {
        while (true) {
            val current = tenths.get()
            if (current < TENTHS) return false
            if (tenths.compareAndSet(current, current - TENTHS)) return true
        }
    }

    public companion object {
        /** Largest number of retries that can be saved up; also the number available at the start. */
        public const val BURST: Int = 10

        private const val TENTHS = 10
    }
}
