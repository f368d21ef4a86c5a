package org.anvilshed.core.seats

import org.anvilshed.core.RegionName
import org.anvilshed.core.ServiceName
import org.anvilshed.core.TargetName
import org.anvilshed.core.VmIdentity
import org.anvilshed.core.ZoneName
import org.anvilshed.core.bundle.DesiredTargetState
import org.anvilshed.core.bundle.Target
import java.util.PriorityQueue
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

internal val ZONE_A = ZoneName("nbo-a")
internal val ZONE_B = ZoneName("nbo-b")
internal val SCOPE_OF_ZONE_A = ShareScope.OfZone(ZONE_A)
internal val SCOPE_OF_REGION = ShareScope.OfRegion(RegionName("nbo"))
private const val TICK = 50L
private const val TURN = 250L
private const val HEARTBEAT = 500L
private const val ATTEMPT = 1000L
private const val REQUEST_TIMEOUT = 1000L

internal fun target(name: String, slots: Int) =
    Target(TargetName(name), ServiceName("booking"), ZONE_A, "127.0.0.1:1", slots, 330, DesiredTargetState.ACTIVE, null)

/**
 * Several processes with drifting clocks, one ledger object, peer messages, and targets that work until the deadline of
 * a request even if the process that sent it is gone. All processes take every slot that they can get.
 *
 * [check] is the oracle of invariant 2: it counts the work at the targets and the fractions of the links in use.
 */
internal class ShareSimulation(seed: Long, val scope: ShareScope, isolationSeconds: Int = 20, zones: List<ZoneName>) {
    private class Event(val at: Long, val number: Long, val run: () -> Unit)

    private class Work(val target: TargetName, val slots: Int, val end: Long)

    val random = Random(seed)
    val store = SimulatedStore()
    val vms = mutableListOf<SimulatedVm>()
    var now = 0L
        private set
    var outageUntil = 0L
    var outageIsSilent = false
    var lossRate = 0.0
    var staleRate = 0.0
    var longestDelay = 20L
    private var settings = ShareSettings(16, isolationSeconds.seconds, 4.seconds)
    private var targets = listOf(target("t-1", 1), target("t-2", 3), target("t-3", 4), target("t-4", 5))
    private val events = PriorityQueue<Event>(compareBy<Event> { it.at }.thenBy { it.number })
    private val work = mutableListOf<Work>()
    private var numberOfEvents = 0L
    private var names = 0

    init {
        zones.forEach { add(it) }
        at(TICK) { tick() }
    }

    fun add(zone: ZoneName, name: String = "vm-${names++}"): SimulatedVm {
        val vm = SimulatedVm(name, zone, scope, settings, random, targets)
        vms += vm
        at(random.nextLong(TURN)) { every(vm, TURN) { turn(vm) } }
        at(random.nextLong(HEARTBEAT)) { every(vm, HEARTBEAT) { sendHeartbeats(vm) } }
        at(random.nextLong(ATTEMPT)) { every(vm, ATTEMPT) { attemptConnections(vm) } }
        return vm
    }

    fun running(): List<SimulatedVm> = vms.filter { it.isRunning(now) }

    fun usableFraction(): Double = running().sumOf { it.holder.usable.fractionAt(it.clock(now)) }

    fun runFor(milliseconds: Long) {
        val end = now + milliseconds
        while (events.peek().at <= end) {
            val event = events.remove()
            now = event.at
            event.run()
        }
        now = end
    }

    /** Runs until [condition] quarantines, and returns the elapsed time, or `null` if it does not hold within [limit]. */
    fun timeUntil(limit: Long, condition: () -> Boolean): Long? {
        val start = now
        while (!condition()) {
            if (now - start >= limit) return null
            runFor(TICK)
        }
        return now - start
    }

    fun changeBundle(newSettings: ShareSettings = settings, newTargets: List<Target> = targets) {
        val oldShares = settings.shares
        settings = newSettings.copy(shares = maxOf(oldShares, newSettings.shares))
        targets = newTargets
        for (vm in vms) {
            deliver(vm, random.nextLong(2000)) {
                vm.change(settings, newTargets, now)
            }
        }
    }

    fun changeSlots(index: Int, slots: Int) =
        changeBundle(newTargets = targets.mapIndexed { at, old -> if (at == index) old.copy(slots = slots) else old })

    fun changeSettings(change: (ShareSettings) -> ShareSettings) = changeBundle(change(settings))

    fun leave(vm: SimulatedVm) {
        if (!vm.isRunning(now)) return
        vm.leaving = true
        vm.holder.announceLeaving()
    }

    fun heal() {
        outageUntil = 0
        lossRate = 0.0
        staleRate = 0.0
        longestDelay = 20
        for (vm in vms) {
            vm.frozenUntil = minOf(vm.frozenUntil, now)
            vm.cutFromStore = false
            vm.partition = 0
        }
    }

    /**
     * Fails if a target has more work than slots, if more than the whole scope is in use, or if a process may use a
     * share that belongs to another one or to none.
     */
    fun check() {
        work.removeAll { it.end <= now }
        for ((target, running) in work.groupBy { it.target }) {
            // While a bundle spreads, processes may go by the old or the new number of slots.
            val slots = running.maxOf { it.slots }
            if (running.size > slots) violated("$target has $slots slots and ${running.size} requests")
        }
        for (vm in running().filter { it.holder.usable.isValidAt(it.clock(now)) }) {
            val foreign = vm.holder.usable.shares - checkNotNull(store.ledgerOrNull).sharesOf(vm.identity)
            if (!foreign.isEmpty()) violated("${vm.identity} may use $foreign of others")
        }
        val fraction = usableFraction()
        if (fraction > 1 + 1e-9) violated("$fraction of $scope is in use")
    }

    private fun violated(what: String): Nothing = throw AssertionError("$what at $now")

    private fun at(delay: Long, run: () -> Unit) {
        events += Event(now + delay, numberOfEvents++, run)
    }

    /** Runs [run] in the process [vm] after [delay], or when it continues after a freeze, unless it ends before. */
    private fun deliver(vm: SimulatedVm, delay: Long, run: () -> Unit): Unit = at(delay) {
        if (vm.alive && now < vm.frozenUntil) {
            deliver(vm, vm.frozenUntil - now, run)
        } else if (vm.alive) {
            run()
        }
    }

    private fun every(vm: SimulatedVm, period: Long, run: () -> Unit) {
        if (!vm.alive) return
        if (vm.isRunning(now)) run()
        at(period) { every(vm, period, run) }
    }

    private fun delay() = 1 + random.nextLong(longestDelay)

    private fun twice(run: () -> Unit) = repeat(if (random.nextInt(20) == 0) 2 else 1) { run() }

    private fun tick() {
        for (vm in running()) if (!vm.leaving) takeSlots(vm)
        check()
        at(TICK) { tick() }
    }

    private fun turn(vm: SimulatedVm) {
        if (vm.busy) return
        if (vm.leaving && vm.targets.all { vm.pool.inFlight(it.name) == 0 }) vm.holder.finish(vm.clock(now))
        if (vm.holder.hasLeft) vm.alive = false
        when (val action = vm.turn(now)) {
            LedgerAction.Read -> request(vm, LedgerReadResult.Failed, LedgerReadResult.Failed, {
                store.read(if (random.nextDouble() < staleRate) random.nextInt(1, 6) else 0)
            }, { vm.holder.readFinished(it, vm.clock(now)) })
            is LedgerAction.Write -> request(vm, LedgerWriteResult.Unknown, LedgerWriteResult.Rejected, {
                store.write(action)
            }, { vm.holder.writeFinished(action.writeId, it, vm.clock(now)) })
            is LedgerAction.Wait -> Unit
        }
    }

    /** One call of the platform, whose request may arrive after the timeout and whose response may be lost. */
    private fun <T : Any> request(vm: SimulatedVm, timeout: T, unavailable: T, call: () -> T, report: (T) -> Unit) {
        vm.busy = true
        fun finish(result: T) {
            twice { report(result) }
            if (!vm.busy) return
            vm.busy = false
            turn(vm)
        }
        deliver(vm, REQUEST_TIMEOUT) { if (vm.busy) finish(timeout) }
        if (vm.cutFromStore) return
        at(delay()) {
            val result = if (now >= outageUntil) {
                call()
            } else if (outageIsSilent) {
                null
            } else {
                unavailable
            }
            val lost = result == null || random.nextDouble() < lossRate
            if (!lost) deliver(vm, delay()) { finish(result) }
        }
    }

    private fun connected(one: SimulatedVm, other: SimulatedVm) = !other.vanished && one.partition == other.partition

    private fun sendHeartbeats(vm: SimulatedVm) {
        val sentAt = vm.clock(now)
        for (peer in vms) {
            if (peer === vm || !peer.alive || !connected(vm, peer)) continue
            deliver(peer, delay()) {
                if (peer.holder.grantPeerLease(vm.identity, peer.clock(now)) && random.nextDouble() >= lossRate) {
                    deliver(vm, delay()) { twice { vm.holder.peerLeaseReceived(peer.identity, sentAt) } }
                }
            }
        }
    }

    private fun attemptConnections(vm: SimulatedVm) {
        for (suspect in vm.holder.suspects(vm.clock(now))) {
            val sameAddress = vms.filter { it.holder.address == suspect.address }
            val listening = sameAddress.find { it.alive }
            val peer = listening ?: sameAddress.last()
            if (!connected(vm, peer)) continue
            deliver(vm, delay()) { report(vm, suspect.identity, listening) }
        }
    }

    private fun report(vm: SimulatedVm, suspect: VmIdentity, listening: SimulatedVm?) = when {
        listening == null -> vm.holder.connectionRefused(suspect, vm.clock(now))
        listening.isRunning(now) -> vm.holder.connectionAnswered(suspect, listening.identity, vm.clock(now))
        else -> Unit
    }

    private fun takeSlots(vm: SimulatedVm) {
        for (target in vm.targets) {
            val slot = vm.pool.acquireOrNull(target.name, vm.clock(now)) ?: continue
            val deadline = vm.holder.usable.longestDeadline.inWholeMilliseconds
            val duration = if (random.nextBoolean()) deadline else random.nextLong(1, deadline + 1)
            work += Work(target.name, target.slots, now + duration)
            val closedAfter = random.nextLong(1, deadline + 1)
            if (closedAfter < duration && random.nextInt(4) == 0) {
                val until = vm.clock(now) + deadline.milliseconds * 1.05
                deliver(vm, closedAfter) { twice { slot.abandon(until) } }
            } else {
                deliver(vm, duration) { twice { slot.complete() } }
            }
        }
    }
}
