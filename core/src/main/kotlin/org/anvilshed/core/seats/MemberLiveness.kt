package org.anvilshed.core.seats

import org.anvilshed.core.MonotonicTime
import org.anvilshed.core.VmIdentity
import kotlin.time.Duration

/**
 * Renewals and connection attempts by which one process judges whether the members of a ledger are alive.
 *
 * The removal of members and the ideal allocation of the shares depend on it.
 */
internal class MemberLiveness {
    private class Observation(val renewal: Long, val firstSeen: MonotonicTime, var unchangedSince: MonotonicTime) {
        var failures = 0
        var firstFailure = firstSeen
        var lastFailure = firstSeen
    }

    private val observations = HashMap<VmIdentity, Observation>()
    private var lastRead: MonotonicTime? = null

    /** Records that [ledger] is the newest known state at [now]. */
    fun observe(ledger: ShareLedger, now: MonotonicTime) {
        val gap = lastRead.let { it == null || now - it > ShareTiming.LEASE_DURATION }
        lastRead = now
        observations.keys.retainAll(ledger.members.mapTo(HashSet()) { it.identity })
        for (member in ledger.members) {
            val known = observations[member.identity]
            if (known == null || known.renewal != member.renewal) {
                observations[member.identity] = Observation(member.renewal, now, now)
            } else if (gap) {
                // The fault that kept this process from reading may have kept the other members from renewing.
                known.unchangedSince = now
            }
        }
    }

    /** Returns whether the ledger was read within the last lease duration. */
    fun isCurrent(now: MonotonicTime): Boolean = lastRead.let { it != null && now - it <= ShareTiming.LEASE_DURATION }

    /** Returns for how long the renewal of [member] has been read regularly without a change. */
    fun unchangedFor(member: VmIdentity, now: MonotonicTime): Duration =
        observations[member]?.let { now - it.unchangedSince } ?: Duration.ZERO

    /** Returns whether [member] may still be renewing its lease. */
    fun isLive(member: VmIdentity, now: MonotonicTime): Boolean = unchangedFor(member, now) < ShareTiming.REMOVAL_DELAY

    /** Returns how long ago the present renewal of [member] was first read, including times without reads. */
    fun renewalAge(member: VmIdentity, now: MonotonicTime): Duration =
        observations[member]?.let { now - it.firstSeen } ?: Duration.ZERO

    /** Records that a connection attempt to the address of [member] was refused or answered by another process. */
    fun attemptFailed(member: VmIdentity, now: MonotonicTime) {
        val observation = observations[member] ?: return
        if (observation.failures++ == 0) observation.firstFailure = now
        observation.lastFailure = maxOf(now, observation.lastFailure)
    }

    /** Records that [member] itself answered a connection attempt. */
    fun attemptSucceeded(member: VmIdentity) {
        observations[member]?.failures = 0
    }

    /** Returns whether the connection attempts prove that the process of [member] has ended. */
    fun hasTerminated(member: VmIdentity): Boolean = observations[member].let {
        it != null &&
            it.failures >= ShareTiming.TERMINATION_ATTEMPTS &&
            it.lastFailure - it.firstFailure >= ShareTiming.TERMINATION_SPAN
    }
}
