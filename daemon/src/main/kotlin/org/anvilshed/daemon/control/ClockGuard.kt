package org.anvilshed.daemon.control

import org.anvilshed.daemon.DaemonClock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Largest difference between the clocks over one check; more shows that the machine was suspended or its clock set. */
private val TOLERANCE: Duration = 2.seconds

/** Compares the monotonic clock with the wall clock, since the former may not count a suspend of the machine. */
internal class ClockGuard(private val clock: DaemonClock) {
    private var lastMonotonic = clock.now()
    private var lastWall = clock.wallNow()

    /** Returns whether the clocks agree on the time since the last call; to be called once a second. */
    fun check(): Boolean {
        val monotonic = clock.now()
        val wall = clock.wallNow()
        val difference = (wall - lastWall) - (monotonic - lastMonotonic)
        lastMonotonic = monotonic
        lastWall = wall
        return difference.absoluteValue <= TOLERANCE
    }
}
