package org.anvilshed.core.seats

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Time constants of the share protocol. All processes of a deployment must use the same values. */
public object ShareTiming {
    /** Time between two renewals of a member, and between two reads of a process that only watches a ledger. */
    public val RENEWAL_PERIOD: Duration = 2.seconds

    /** Validity of a lease from the sending of the renewal, and of a promise from the sending of the heartbeat. */
    public val LEASE_DURATION: Duration = 6.seconds

    /** Largest relative difference between the rates of the clocks of two processes. */
    public const val CLOCK_DRIFT: Double = 0.05

    /** Margin for the time between the last check of a lease and the arrival of the work at the target. */
    public val DISPATCH_MARGIN: Duration = 1.seconds

    /** Shortest time for which a member's renewal or promise must be missing before the member may be removed. */
    public val REMOVAL_DELAY: Duration = withDrift(LEASE_DURATION) + DISPATCH_MARGIN

    /** Number of failed connection attempts that prove that a process has ended. */
    public const val TERMINATION_ATTEMPTS: Int = 3

    /** Shortest time between the first and the last of these attempts. */
    public val TERMINATION_SPAN: Duration = 2.seconds

    /** Returns how long to wait so that [duration] has certainly passed on the clock of any other process. */
    public fun withDrift(duration: Duration): Duration = duration * (1 + CLOCK_DRIFT)
}
