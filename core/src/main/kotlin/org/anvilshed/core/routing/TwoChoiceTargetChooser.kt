package org.anvilshed.core.routing

import org.anvilshed.core.RefusalReason

/**
 * Chooses a target of a group by the power of two choices: the better of two random targets, or any other one with a
 * free slot if both are full.
 *
 * If all targets were compared instead, VMs with the same reports would all choose the same target.
 */
public class TwoChoiceTargetChooser(private val limit: LocalDispatchLimit) {
    /** Returns a target of [group] with an acquired slot, or `null` if no slot is free or a limit was reached. */
    public fun choose(group: TargetGroup, request: RouteRequest): TargetState? {
        val targets = group.targets
        if (targets.isEmpty()) return null
        val first = targets[request.random.nextInt(targets.size)]
        val second = targets[request.random.nextInt(targets.size)]
        val better = if (isBetter(second, first, request)) second else first
        if (tryAcquire(better, request)) return better
        val other = if (better === first) second else first
        if (other !== better && mayTryNext(request) && tryAcquire(other, request)) return other
        group.candidates.refresh(request.now)
        val start = request.random.nextInt(targets.size)
        return scan(group, start, targets.size, request) ?: scan(group, 0, start, request)
    }

    private fun scan(group: TargetGroup, from: Int, to: Int, request: RouteRequest): TargetState? {
        var index = group.candidates.nextFrom(from)
        while (index in 0 until to && mayTryNext(request)) {
            val target = group.targets[index]
            // Removed before the attempt, so that a slot that becomes free during the attempt is not missed.
            group.candidates.remove(index)
            if (tryAcquire(target, request)) {
                group.candidates.add(index)
                return target
            }
            // The avoided target may have a slot for other requests; reasons other than NO_SLOT concern all targets.
            if (target === request.avoidTarget || !mayTryNext(request)) group.candidates.add(index)
            index = group.candidates.nextFrom(index + 1)
        }
        return null
    }

    private fun isBetter(candidate: TargetState, other: TargetState, request: RouteRequest): Boolean {
        val difference = candidate.score(request.now).compareTo(other.score(request.now))
        return difference < 0 || (difference == 0 && candidate.latencyNanoseconds < other.latencyNanoseconds)
    }

    private fun tryAcquire(target: TargetState, request: RouteRequest): Boolean {
        if (target === request.avoidTarget || !target.isAvailable(request.now, request.wallNow)) return false
        if (!target.tryBegin(request.now)) return false
        val refusal = limit.acquire(target) ?: return true
        target.undoBegin()
        request.localRefusal = refusal
        return false
    }

    private fun mayTryNext(request: RouteRequest): Boolean =
        request.localRefusal.let { it == null || it == RefusalReason.NO_SLOT }
}
