package org.anvilshed.daemon.control

import org.anvilshed.daemon.DaemonClock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Largest drift between the clocks over one check; more shows that the machine was suspended or its clock was set. */
private val MAXIMUM_DRIFT: Duration = 2.seconds

/** Compares the monotonic clock with the wall clock, because the monotonic clock may stop during a suspend. */
internal class ClockGuard(private val clock: DaemonClock) {
    private var lastMonotonic = clock.now()
    private var lastWall = clock.wallNow()

    /** Returns whether both clocks agree on the time since the previous call. Must be called once a second. */
    fun check(): Boolean {
        val monotonic = clock.now()
        val wall = clock.wallNow()
        val difference = (wall - lastWall) - (monotonic - lastMonotonic)
        lastMonotonic = monotonic
        lastWall = wall
        return difference.absoluteValue <= MAXIMUM_DRIFT
    }
}
