package org.anvilshed.core.routing

import org.anvilshed.core.MonotonicTime

/** At most one in this many targets of a group may be ejected at a time. */
private const val EJECTABLE_DIVISOR = 3

/** Targets of one service in one zone, at most a third of which may be ejected at a time. */
internal class EjectionGroup {
    private val members = mutableListOf<TargetState>()

    fun replaceMembers(targets: List<TargetState>) {
        synchronized(this) {
            members.clear()
            members += targets
        }
    }

    /** Calls [eject] if one more target may be ejected at [now]; the check and the call are one atomic step. */
    inline fun ejectIfAllowed(now: MonotonicTime, eject: () -> Unit) {
        synchronized(this) {
            val ejected = members.count { it.isEjected(now) }
            if ((ejected + 1) * EJECTABLE_DIVISOR <= members.size) eject()
        }
    }
}
