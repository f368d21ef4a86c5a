package org.anvilshed.core.routing

import org.anvilshed.core.MonotonicTime
import org.anvilshed.core.ServiceName
import org.anvilshed.core.TargetName
import org.anvilshed.core.VmName
import org.anvilshed.core.ZoneName
import org.anvilshed.core.bundle.Bundle
import org.anvilshed.core.bundle.DesiredTargetState
import org.anvilshed.core.bundle.Target

/**
 * Holds the [TargetState] of each target. Readers use [table] and take no lock; changes come from one thread at a time
 * and are guarded by the monitor of this object.
 */
public class TargetRegistry {
    private val ejectionGroups = mutableMapOf<Pair<ServiceName, ZoneName>, EjectionGroup>()
    private val leavingByPeer = mutableMapOf<VmName, Set<TargetName>>()
    private var leavingInVmList = emptySet<TargetName>()

    /** Snapshot of the bundle applied last. */
    @Volatile
    public var table: TargetTable = TargetTable.EMPTY
        private set

    /** Replaces [table] by the targets of [bundle]. Known targets keep their state, others are marked as removed. */
    public fun applyBundle(bundle: Bundle, now: MonotonicTime): Unit = synchronized(this) {
        val previous = table
        val states = bundle.targets.values.sortedBy { it.name }.map { stateFor(it, previous, now) }
        updateAnnouncedSources(states)
        val groups = states.groupBy { it.service to it.zone }
        groups.forEach { (key, members) -> ejectionGroups.getValue(key).replaceMembers(members) }
        val byName = states.associateBy { it.name }
        table = TargetTable(
            byName,
            groups.mapValues { (key, members) ->
                TargetGroup(key.first, key.second, bundle.zones.getValue(key.second).region, members.toTypedArray())
            },
        )
        previous.targets.forEach { if (byName[it.name] !== it) it.markLeaving(LeavingSource.REMOVED) }
    }

    /** Replaces the targets that the platform's VM list shows as leaving. */
    public fun applyVmList(leaving: Set<TargetName>): Unit = synchronized(this) {
        leavingInVmList = leaving.toSet()
        updateAnnouncedSources(table.targets)
    }

    /** Replaces the targets that the heartbeats of [peer] announce as leaving; an empty set removes the peer. */
    public fun applyPeerAnnouncement(peer: VmName, leaving: Set<TargetName>): Unit = synchronized(this) {
        if (leavingByPeer[peer].orEmpty() == leaving) return
        if (leaving.isEmpty()) leavingByPeer -= peer else leavingByPeer[peer] = leaving.toSet()
        updateAnnouncedSources(table.targets)
    }

    /** Returns the targets that this VM itself observed as draining, to be announced in its heartbeats. */
    public fun observedDraining(): Set<TargetName> =
        table.targets.filter { it.isDrainingObserved }.mapTo(mutableSetOf()) { it.name }

    private fun stateFor(target: Target, previous: TargetTable, now: MonotonicTime): TargetState {
        val group = ejectionGroups.getOrPut(target.service to target.zone) { EjectionGroup() }
        val known = previous.targetOrNull(target.name)
            ?.takeIf { it.service == target.service && it.zone == target.zone && it.address == target.address }
        val state = known ?: TargetState(target.name, target.service, target.zone, target.address, group, now)
        state.configure(target.slots, target.leavesAt)
        state.setLeaving(LeavingSource.BUNDLE, target.desiredState == DesiredTargetState.LEAVING)
        return state
    }

    private fun updateAnnouncedSources(targets: Collection<TargetState>) {
        val announced = leavingByPeer.values.flatten().toSet()
        targets.forEach {
            it.setLeaving(LeavingSource.VM_LIST, it.name in leavingInVmList)
            it.setLeaving(LeavingSource.PEER, it.name in announced)
        }
    }

    private fun TargetState.setLeaving(source: LeavingSource, leaving: Boolean) =
        if (leaving) markLeaving(source) else unmarkLeaving(source)
}
