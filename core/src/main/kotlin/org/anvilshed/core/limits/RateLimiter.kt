package org.anvilshed.core.limits

import org.anvilshed.core.MonotonicTime
import org.anvilshed.core.seats.UsableShares
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.nanoseconds

/**
 * Token bucket for link bytes or region requests whose rate follows the seats of the region.
 *
 * In any window of length w the granted amounts are at most `rate * (w + burst)` plus one amount: an amount larger than
 * the whole burst is granted when the bucket is full, since it could never pass otherwise. The state is the time at
 * which the bucket will be full again (generic cell rate algorithm), so a change of the rate needs no other update.
 *
 * @param limit amount per second of the whole region, for example bytes per second of a link or requests per second.
 * @param rights present right to use the seats of the region.
 * @param burst time in which the largest burst is earned.
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

    /** Takes [amount] from the bucket at [now]; returns whether it was available. */
    public fun tryAcquire(amount: Double, now: MonotonicTime): Boolean {
        val rate = rateAt(now)
        if (rate <= 0.0) return false
        while (true) {
            val current = fullAt.get()
            val newFullAt = maxOf(current, now.nanoseconds) + earningNanoseconds(amount, rate)
            val full = current <= now.nanoseconds
            if (!full && newFullAt - now.nanoseconds > burst.inWholeNanoseconds) return false
            if (fullAt.compareAndSet(current, newFullAt)) return true
        }
    }

    /**
     * Returns how long to wait at [now] until [amount] can be taken if nobody else takes anything; [Duration.INFINITE]
     * while this VM has no seat.
     */
    public fun waitingTime(amount: Double, now: MonotonicTime): Duration {
        val rate = rateAt(now)
        if (rate <= 0.0) return Duration.INFINITE
        val current = fullAt.get()
        if (current <= now.nanoseconds) return Duration.ZERO
        val untilFull = current - now.nanoseconds
        val untilEarned = untilFull + earningNanoseconds(amount, rate) - burst.inWholeNanoseconds
        return untilEarned.coerceIn(0, untilFull).nanoseconds
    }

    private fun earningNanoseconds(amount: Double, rate: Double): Long =
        (amount / rate * NANOSECONDS_PER_SECOND).coerceAtMost(LONGEST_EARNING_NANOSECONDS).toLong()

    public companion object {
        /** Default burst: smooths chunks of a response, and is short against the buffers of a link. */
        public val DEFAULT_BURST: Duration = 100.milliseconds

        private const val NANOSECONDS_PER_SECOND = 1e9
        private val LONGEST_EARNING_NANOSECONDS = 1.hours.inWholeNanoseconds.toDouble()
    }
}
