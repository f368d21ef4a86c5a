package org.anvilshed.gateway.testbed

import org.anvilshed.core.MonotonicTime
import org.anvilshed.gateway.systemClock
import java.util.concurrent.atomic.AtomicInteger

/** Thrown by a [FaultyClock]. */
class ClockFault : IllegalStateException("clock fault")

/**
 * Clock that throws an exception at one of the calls on the path of requests, as an unexpected fault there would.
 *
 * The release of a slot is left out: no code can release the slot if the release itself fails.
 */
class FaultyClock {
    private val callsBefore = AtomicInteger(NEVER)

    /** Whether the fault has been thrown since the latest [failAfter]. */
    val hasFailed: Boolean
        get() = callsBefore.get() == NEVER

    /** Makes one call fail after [calls] further ones on the path of requests. */
    fun failAfter(calls: Int) = callsBefore.set(calls)

    fun now(): MonotonicTime {
        if (!hasFailed && isOnRequestPath() && callsBefore.getAndUpdate { if (it == 0) NEVER else it - 1 } == 0) {
            throw ClockFault()
        }
        return systemClock()
    }

    private fun isOnRequestPath(): Boolean = StackWalker.getInstance().walk { frames ->
        var isOnPath = false
        var isRelease = false
        frames.forEach { frame ->
            if (PACKAGES.any { frame.className.startsWith(it) }) isOnPath = true
            if (frame.methodName == "settle") isRelease = true
        }
        isOnPath && !isRelease
    }

    private companion object {
        const val NEVER = -1
        val PACKAGES = listOf("org.anvilshed.gateway.requests.", "org.anvilshed.gateway.targets.")
    }
}
