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

// Periods and the timeout of a call of the platform, in milliseconds of simulated time.
private const val CHECK_PERIOD = 50L
private const val LOOP_PERIOD = 250L
private const val HEARTBEAT_PERIOD = 500L
private const val CONNECTION_PERIOD = 1000L
private const val REQUEST_TIMEOUT = 1000L

internal fun target(name: String, slots: Int) =
    Target(TargetName(name), ServiceName("booking"), ZONE_A, "127.0.0.1:1", slots, 330, DesiredTargetState.ACTIVE, null)

/**
 * Simulation of several processes with drifting clocks, one ledger object, peer messages, and targets that work until
 * the deadline of a request even if the process that sent it has ended. Each process takes every slot that it can get.
 *
 * [check] verifies that no target and no link is used beyond its limit: it counts the requests at the targets and sums
 * the fractions of the scope that the processes may use.
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
        at(CHECK_PERIOD) { takeSlotsAndCheck() }
    }

    fun add(zone: ZoneName, name: String = "vm-${names++}"): SimulatedVm {
        val vm = SimulatedVm(name, zone, scope, settings, random, targets)
        vms += vm
        at(random.nextLong(LOOP_PERIOD)) { repeatEvery(vm, LOOP_PERIOD) { iterate(vm) } }
        at(random.nextLong(HEARTBEAT_PERIOD)) { repeatEvery(vm, HEARTBEAT_PERIOD) { sendHeartbeats(vm) } }
        at(random.nextLong(CONNECTION_PERIOD)) { repeatEvery(vm, CONNECTION_PERIOD) { attemptConnections(vm) } }
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

    /** Runs until [condition] holds, and returns the elapsed time, or `null` if it does not hold within [limit]. */
    fun timeUntil(limit: Long, condition: () -> Boolean): Long? {
        val start = now
        while (!condition()) {
            if (now - start >= limit) return null
            runFor(CHECK_PERIOD)
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
            vm.storeUnreachable = false
            vm.partition = 0
        }
    }

    /**
     * Fails if a target has more work than slots, if more than the whole scope is in use, or if a process may use a
     * share that it does not own.
     */
    fun check() {
        work.removeAll { it.end <= now }
        for ((target, running) in work.groupBy { it.target }) {
            // Until all processes have the new bundle, each may apply the old or the new number of slots.
            val slots = running.maxOf { it.slots }
            if (running.size > slots) violated("target $target has $slots slots and works on ${running.size} requests")
        }
        for (vm in running().filter { it.holder.usable.isValidAt(it.clock(now)) }) {
            val foreign = vm.holder.usable.shares - checkNotNull(store.ledgerOrNull).sharesOf(vm.identity)
            if (!foreign.isEmpty()) violated("${vm.identity} may use shares $foreign that it does not own")
        }
        val fraction = usableFraction()
        if (fraction > 1 + 1e-9) violated("the processes may use a fraction of $fraction of $scope in total")
    }

    private fun violated(what: String): Nothing = throw AssertionError("$what at $now ms")

    private fun at(delay: Long, run: () -> Unit) {
        events += Event(now + delay, numberOfEvents++, run)
    }

    /** Runs [run] in the process [vm] after [delay], or after its freeze if it is frozen then, unless it has ended. */
    private fun deliver(vm: SimulatedVm, delay: Long, run: () -> Unit): Unit = at(delay) {
        if (vm.alive && now < vm.frozenUntil) {
            deliver(vm, vm.frozenUntil - now, run)
        } else if (vm.alive) {
            run()
        }
    }

    private fun repeatEvery(vm: SimulatedVm, period: Long, run: () -> Unit) {
        if (!vm.alive) return
        if (vm.isRunning(now)) run()
        at(period) { repeatEvery(vm, period, run) }
    }

    private fun delay() = 1 + random.nextLong(longestDelay)

    private fun onceOrTwice(run: () -> Unit) = repeat(if (random.nextInt(20) == 0) 2 else 1) { run() }

    private fun takeSlotsAndCheck() {
        for (vm in running()) if (!vm.leaving) takeSlots(vm)
        check()
        at(CHECK_PERIOD) { takeSlotsAndCheck() }
    }

    private fun iterate(vm: SimulatedVm) {
        if (vm.busy) return
        if (vm.leaving && vm.targets.all { vm.pool.inFlight(it.name) == 0 }) vm.holder.finish(vm.clock(now))
        if (vm.holder.hasLeft) vm.alive = false
        when (val action = vm.nextAction(now)) {
            LedgerAction.Read -> request(vm, LedgerReadResult.Failed, LedgerReadResult.Failed, {
                store.read(if (random.nextDouble() < staleRate) random.nextInt(1, 6) else 0)
            }, { vm.holder.readFinished(it, vm.clock(now)) })
            is LedgerAction.Write -> request(vm, LedgerWriteResult.Unknown, LedgerWriteResult.Rejected, {
                store.write(action)
            }, { vm.holder.writeFinished(action.writeId, it, vm.clock(now)) })
            is LedgerAction.Wait -> Unit
        }
    }

    /** Calls the platform; the request may arrive after the timeout, and the response may be lost. */
    private fun <T : Any> request(vm: SimulatedVm, timeout: T, unavailable: T, call: () -> T, report: (T) -> Unit) {
        vm.busy = true
        fun finish(result: T) {
            onceOrTwice { report(result) }
            if (!vm.busy) return
            vm.busy = false
            iterate(vm)
        }
        deliver(vm, REQUEST_TIMEOUT) { if (vm.busy) finish(timeout) }
        if (vm.storeUnreachable) return
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

    private fun canReach(from: SimulatedVm, to: SimulatedVm) = !to.vanished && from.partition == to.partition

    private fun sendHeartbeats(vm: SimulatedVm) {
        val sentAt = vm.clock(now)
        for (peer in vms) {
            if (peer === vm || !peer.alive || !canReach(vm, peer)) continue
            deliver(peer, delay()) {
                if (peer.holder.grantPeerLease(vm.identity, peer.clock(now)) && random.nextDouble() >= lossRate) {
                    deliver(vm, delay()) { onceOrTwice { vm.holder.peerLeaseReceived(peer.identity, sentAt) } }
                }
            }
        }
    }

    private fun attemptConnections(vm: SimulatedVm) {
        for (suspect in vm.holder.suspects(vm.clock(now))) {
            val sameAddress = vms.filter { it.holder.address == suspect.address }
            val listening = sameAddress.find { it.alive }
            val peer = listening ?: sameAddress.last()
            if (!canReach(vm, peer)) continue
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
                deliver(vm, closedAfter) { onceOrTwice { slot.abandon(until) } }
            } else {
                deliver(vm, duration) { onceOrTwice { slot.complete() } }
            }
        }
    }
}
