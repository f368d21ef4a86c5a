package org.anvilshed.core.routing

import org.anvilshed.core.RefusalReason

/**
 * Chooses a target of a group: the better one of two random targets, or else any other one that has a place.
 *
 * Comparing two random targets, not all, keeps VMs with equal reports from choosing the same target.
 */
public class TargetChooser(private val limit: LocalLimit) {
    /** Returns a target of [group] whose slot is taken, or `null` if there is none or a limit was reached. */
    public fun choose(group: TargetGroup, request: RouteRequest): TargetState? {
        val targets = group.targets
        if (targets.isEmpty()) return null
        val first = targets[request.random.nextInt(targets.size)]
        val second = targets[request.random.nextInt(targets.size)]
        val better = if (isBetter(second, first, request)) second else first
        if (take(better, request)) return better
        val other = if (better === first) second else first
        if (other !== better && mayGoOn(request) && take(other, request)) return other
        return scan(targets, request)
    }

    private fun scan(targets: Array<TargetState>, request: RouteRequest): TargetState? {
        val start = request.random.nextInt(targets.size)
        for (step in targets.indices) {
            if (!mayGoOn(request)) return null
            val index = start + step
            val target = targets[if (index < targets.size) index else index - targets.size]
            if (take(target, request)) return target
        }
        return null
    }

    private fun isBetter(candidate: TargetState, other: TargetState, request: RouteRequest): Boolean {
        val difference = candidate.score(request.now).compareTo(other.score(request.now))
        return difference < 0 || (difference == 0 && candidate.latencyNanoseconds < other.latencyNanoseconds)
    }

    private fun take(target: TargetState, request: RouteRequest): Boolean {
        if (target === request.avoidTarget || !target.isAvailable(request.now, request.wallNow)) return false
        if (!target.tryBegin(request.now)) return false
        val refusal = limit.acquire(target) ?: return true
        target.end()
        request.localRefusal = refusal
        return false
    }

    private fun mayGoOn(request: RouteRequest): Boolean =
        request.localRefusal.let { it == null || it == RefusalReason.NO_SLOT }
}
