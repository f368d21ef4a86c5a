package org.anvilshed.core.routing

import org.anvilshed.core.RefusalReason

/**
 * Chooses a target of a group: the better one of two random targets, or else any other one that has a place.
 *
 * Comparing two random targets, not all, keeps VMs with equal reports from choosing the same target.
 */
public class TargetChooser(private val limit: LocalDispatchLimit) {
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
        group.candidates.refresh(request.now)
        val start = request.random.nextInt(targets.size)
        return scan(group, start, targets.size, request) ?: scan(group, 0, start, request)
    }

    private fun scan(group: TargetGroup, from: Int, to: Int, request: RouteRequest): TargetState? {
        var index = group.candidates.nextFrom(from)
        while (index in 0 until to && mayGoOn(request)) {
            val target = group.targets[index]
            // Removed before the look, so that a slot that is freed during it is not lost.
            group.candidates.remove(index)
            if (take(target, request)) {
                group.candidates.add(index)
                return target
            }
            // The avoided target has room for other requests; other reasons than a slot concern all targets.
            if (target === request.avoidTarget || !mayGoOn(request)) group.candidates.add(index)
            index = group.candidates.nextFrom(index + 1)
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
        target.undoBegin()
        request.localRefusal = refusal
        return false
    }

    private fun mayGoOn(request: RouteRequest): Boolean =
        request.localRefusal.let { it == null || it == RefusalReason.NO_SLOT }
}
