package org.anvilshed.core.limits

import org.anvilshed.core.MonotonicTime
import org.anvilshed.core.seats.UsableShares
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.nanoseconds

/**
 * Token bucket for the bytes of a link or the requests of a region. Its rate is the limit of the region multiplied by
 * the fraction of the region's shares that this VM may use.
 *
 * In any interval of length w the granted amounts sum up to at most `rate * (w + burst)` plus one amount: an amount
 * larger than the whole burst is granted when the bucket is full, since such an amount could never be granted
 * otherwise. The state is the time at which the bucket will be full again (generic cell rate algorithm), so a change of
 * the rate needs no other update. Thread-safe and lock-free.
 *
 * @param limit amount per second of the whole region, for example bytes per second of a link or requests per second.
 * @param rights returns the current right to use the shares of the region.
 * @param burst largest burst, as the time in which an empty bucket becomes full.
 */
public class RateLimiter(
    @Volatile private var limit: Double,
    private val burst: Duration = DEFAULT_BURST,
    private val rights: () -> UsableShares,
) {
    private val fullAt = AtomicLong(Long.MIN_VALUE)

    /** Sets the limit of the whole region to [newLimit] per second. */
    public fun changeLimit(newLimit: Double) {
        limit = newLimit
    }

    /** Returns the amount per second that this VM may use at [now]. */
    public fun rateAt(now: MonotonicTime): Double = limit * rights().fractionAt(now)

    /** Takes [amount] from the bucket at [now]; returns whether the amount was available. */
    public fun tryAcquire(amount: Double, now: MonotonicTime): Boolean {
        val rate = rateAt(now)
        if (rate <= 0.0) return false
        while (true) {
            val current = fullAt.get()
            val newFullAt = maxOf(current, now.nanoseconds) + refillNanoseconds(amount, rate)
            val full = current <= now.nanoseconds
            if (!full && newFullAt - now.nanoseconds > burst.inWholeNanoseconds) return false
            if (fullAt.compareAndSet(current, newFullAt)) return true
        }
    }

    /**
     * Returns the time from [now] until [amount] can be taken, provided that no other call takes anything before;
     * [Duration.INFINITE] while this VM has no share.
     */
    public fun waitingTime(amount: Double, now: MonotonicTime): Duration {
        val rate = rateAt(now)
        if (rate <= 0.0) return Duration.INFINITE
        val current = fullAt.get()
        if (current <= now.nanoseconds) return Duration.ZERO
        val untilFull = current - now.nanoseconds
        val untilAvailable = untilFull + refillNanoseconds(amount, rate) - burst.inWholeNanoseconds
        return untilAvailable.coerceIn(0, untilFull).nanoseconds
    }

    private fun refillNanoseconds(amount: Double, rate: Double): Long =
        (amount / rate * NANOSECONDS_PER_SECOND).coerceAtMost(MAXIMUM_REFILL_NANOSECONDS).toLong()

    public companion object {
        /** Default burst: smooths the chunks of a response and is short compared to the buffers of a link. */
        public val DEFAULT_BURST: Duration = 100.milliseconds

        private const val NANOSECONDS_PER_SECOND = 1e9
        private val MAXIMUM_REFILL_NANOSECONDS = 1.hours.inWholeNanoseconds.toDouble()
    }
}
