package org.anvilshed.daemon.request

import org.anvilshed.daemon.DaemonClock
import java.util.concurrent.atomic.LongAdder
import kotlin.time.DurationUnit

/** Weight of the newest second in the mean, so that the demand follows a peak within about ten seconds. */
private const val NEWEST_WEIGHT = 0.2

/** Lower bound of the mean, so that single requests to idle VMs do not move seats between them. */
private const val LEAST_RATE = 10.0

/** Mean number of requests per second that callers hand in. */
internal class RequestRate(private val clock: DaemonClock) {
    private val count = LongAdder()
    private var countedAt = clock.now()
    private var mean = 0.0

    fun increment(): Unit = count.increment()

    /** Returns the mean up to now; to be called by one thread, about once a second. */
    fun update(): Double {
        val now = clock.now()
        val seconds = (now - countedAt).toDouble(DurationUnit.SECONDS)
        if (seconds > 0.0) {
            mean += NEWEST_WEIGHT * (count.sumThenReset() / seconds - mean)
            countedAt = now
        }
        return mean.coerceAtLeast(LEAST_RATE)
    }
}
