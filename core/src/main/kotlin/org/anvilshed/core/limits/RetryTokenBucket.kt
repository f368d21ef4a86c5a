package org.anvilshed.core.limits

import java.util.concurrent.atomic.AtomicInteger

/**
 * Token bucket that limits the retries of one service on this VM: each first attempt adds a tenth of a token, each
 * retry takes a whole one, and the bucket holds at most [BURST] tokens. Thread-safe and lock-free.
 */
public class RetryTokenBucket {
    private val tenths = AtomicInteger(BURST * TENTHS_PER_TOKEN)

    /** Records the first attempt of a request. */
    public fun recordFirstAttempt() {
        tenths.updateAndGet { minOf(it + 1, BURST * TENTHS_PER_TOKEN) }
    }

    /** Takes a token for one retry, whatever the reason of the retry; returns whether a token was available. */
    public fun tryRetry(): Boolean {
        while (true) {
            val current = tenths.get()
            if (current < TENTHS_PER_TOKEN) return false
            if (tenths.compareAndSet(current, current - TENTHS_PER_TOKEN)) return true
        }
    }

    public companion object {
        /** Capacity of the bucket in retries; also the number of retries available at the start. */
        public const val BURST: Int = 10

        private const val TENTHS_PER_TOKEN = 10
    }
}
