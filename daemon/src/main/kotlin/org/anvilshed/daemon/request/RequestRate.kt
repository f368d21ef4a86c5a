package org.anvilshed.daemon.request

import org.anvilshed.daemon.DaemonClock
import java.util.concurrent.atomic.LongAdder
import kotlin.time.DurationUnit

/** Weight of the latest second in the moving average; the demand follows a peak within about ten seconds. */
private const val LATEST_WEIGHT = 0.2

/** Lower bound in requests per second. Without it, single requests to idle VMs would move shares between the VMs. */
private const val MINIMUM_RATE = 10.0

/** Moving average of the number of requests per second that callers send to this VM. */
internal class RequestRate(private val clock: DaemonClock) {
    private val count = LongAdder()
    private var countedAt = clock.now()
    private var average = 0.0

    /** Counts one request. */
    fun increment(): Unit = count.increment()

    /** Updates and returns the average in requests per second. Must be called by one thread, about once a second. */
    fun update(): Double {
        val now = clock.now()
        val seconds = (now - countedAt).toDouble(DurationUnit.SECONDS)
        if (seconds > 0.0) {
            average += LATEST_WEIGHT * (count.sumThenReset() / seconds - average)
            countedAt = now
        }
        return average.coerceAtLeast(MINIMUM_RATE)
    }
}
