package org.anvilshed.core.seats

import org.anvilshed.core.MonotonicTime
import org.anvilshed.core.VmIdentity
import kotlin.time.Duration

/** What one process has observed about the members of a ledger; basis of removals and of the ideal allocation. */
internal class MemberLiveness {
    private class Sighting(val renewal: Long, val firstSeen: MonotonicTime, var watchedSince: MonotonicTime) {
        var failures = 0
        var firstFailure = firstSeen
        var lastFailure = firstSeen
    }

    private val sightings = HashMap<VmIdentity, Sighting>()
    private var lastRead: MonotonicTime? = null

    /** Records that [ledger] is the newest known state at [now]. */
    fun observe(ledger: ShareLedger, now: MonotonicTime) {
        val gap = lastRead.let { it == null || now - it > ShareTiming.LEASE_DURATION }
        lastRead = now
        sightings.keys.retainAll(ledger.members.mapTo(HashSet()) { it.identity })
        for (member in ledger.members) {
            val known = sightings[member.identity]
            if (known == null || known.renewal != member.renewal) {
                sightings[member.identity] = Sighting(member.renewal, now, now)
            } else if (gap) {
                // While this process could not read, the others may have been unable to write for the same reason.
                known.watchedSince = now
            }
        }
    }

    /** Returns whether the ledger was read within the last lease duration. */
    fun isCurrent(now: MonotonicTime): Boolean = lastRead.let { it != null && now - it <= ShareTiming.LEASE_DURATION }

    /** Returns how long the renewal of [member] has been watched without a change. */
    fun unchangedFor(member: VmIdentity, now: MonotonicTime): Duration =
        sightings[member]?.let { now - it.watchedSince } ?: Duration.ZERO

    /** Returns whether [member] may still be renewing its lease. */
    fun isLive(member: VmIdentity, now: MonotonicTime): Boolean = unchangedFor(member, now) < ShareTiming.REMOVAL_DELAY

    /** Returns how long ago the present renewal of [member] was first seen, including times without reads. */
    fun age(member: VmIdentity, now: MonotonicTime): Duration =
        sightings[member]?.let { now - it.firstSeen } ?: Duration.ZERO

    /** Records a connection attempt to [member] that was refused or answered by another process. */
    fun attemptFailed(member: VmIdentity, now: MonotonicTime) {
        val sighting = sightings[member] ?: return
        if (sighting.failures++ == 0) sighting.firstFailure = now
        sighting.lastFailure = maxOf(now, sighting.lastFailure)
    }

    /** Records that [member] itself answered. */
    fun attemptSucceeded(member: VmIdentity) {
        sightings[member]?.failures = 0
    }

    /** Returns whether the connection attempts prove that the process of [member] has ended. */
    fun hasTerminated(member: VmIdentity): Boolean = sightings[member].let {
        it != null &&
            it.failures >= ShareTiming.TERMINATION_ATTEMPTS &&
            it.lastFailure - it.firstFailure >= ShareTiming.TERMINATION_SPAN
    }
}
