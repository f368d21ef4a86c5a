package org.anvilshed.core.seats

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Time constants of the leases of shares. All processes of a deployment must use the same values. */
public object ShareTiming {
    /** Time between two renewals of a member, and between two reads of a process that is not a member of a ledger. */
    public val RENEWAL_PERIOD: Duration = 2.seconds

    /**
     * Validity of a lease, counted from the sending of the renewal, and of a peer lease, counted from the sending of
     * the heartbeat whose acknowledgement grants it.
     */
    public val LEASE_DURATION: Duration = 6.seconds

    /** Largest relative difference between the rates of the clocks of two processes. */
    public const val CLOCK_DRIFT: Double = 0.05

    /** Margin for the time between the last check of a lease and the arrival of the work at the target. */
    public val DISPATCH_MARGIN: Duration = 1.seconds

    /** Time without a renewal by a member, or without a peer lease for it, after which the member may be removed. */
    public val REMOVAL_DELAY: Duration = withDrift(LEASE_DURATION) + DISPATCH_MARGIN

    /** Number of failed connection attempts after which a process counts as ended. */
    public const val TERMINATION_ATTEMPTS: Int = 3

    /** Shortest time between the first and the last of the failed attempts after which a process counts as ended. */
    public val TERMINATION_SPAN: Duration = 2.seconds

    /** Returns how long to wait on the own clock so that [duration] has passed on the clock of any other process. */
    public fun withDrift(duration: Duration): Duration = duration * (1 + CLOCK_DRIFT)
}
