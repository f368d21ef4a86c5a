package org.anvilshed.core.routing

import io.kotest.core.spec.style.FunSpec
import org.anvilshed.core.MonotonicTime
import org.anvilshed.core.RefusalReason
import org.anvilshed.core.TargetName
import org.anvilshed.core.VmName
import org.anvilshed.core.admission.AdmissionQueue
import org.anvilshed.core.bundle.DesiredTargetState
import org.anvilshed.core.fuzz.fuzz
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val COMMANDS = 150
private const val TARGETS = 4
private const val OWNED_SLOTS = 2
private val PEERS = listOf("nbo-a-2", "nbo-a-3").map { VmName(it) }

private sealed interface LeavingCommand {
    /** Bit sets of the targets that the bundle lists, lists as leaving, and plans to leave after [plannedIn]. */
    data class NewBundle(val listed: Int, val leaving: Int, val planned: Int, val plannedIn: Duration) : LeavingCommand

    data class VmList(val leaving: Int) : LeavingCommand

    data class Announcement(val peer: Int, val leaving: Int) : LeavingCommand

    data class Health(val target: Int, val health: TargetProbeResult) : LeavingCommand

    data object Arrive : LeavingCommand

    data class Dispatch(val index: Int) : LeavingCommand

    data class Finish(val index: Int, val ending: Ending) : LeavingCommand

    data object Poll : LeavingCommand

    data class Advance(val time: Duration, val wallStepsBack: Boolean) : LeavingCommand
}

private enum class Ending { ANSWERED, SHED, DRAINING, FAILED }

private fun command(random: Random): LeavingCommand = when (random.nextInt(40)) {
    0 -> random.newBundle()
    1 -> LeavingCommand.VmList(random.sparseBits(16))
    2 -> LeavingCommand.Announcement(random.nextInt(2), random.sparseBits(16))
    in 3..6 -> LeavingCommand.Health(random.nextInt(TARGETS), TargetProbeResult.entries.random(random))
    in 7..17 -> LeavingCommand.Arrive
    in 18..26 -> LeavingCommand.Dispatch(random.nextInt(100))
    in 27..33 -> LeavingCommand.Finish(random.nextInt(100), Ending.entries[minOf(random.nextInt(8), 3)])
    in 34..36 -> LeavingCommand.Poll
    else -> LeavingCommand.Advance(random.nextInt(1500).milliseconds, random.nextInt(5) == 0)
}

private fun Random.newBundle() =
    LeavingCommand.NewBundle(nextInt(16) or nextInt(16), sparseBits(16), sparseBits(16), nextInt(3000).milliseconds)

private fun Random.sparseBits(bits: Int) = nextInt(bits) and nextInt(bits)

private fun namesOf(bits: Int): Set<TargetName> =
    (0 until TARGETS).filter { bits and (1 shl it) != 0 }.mapTo(mutableSetOf()) { targetName(it) }

/** Reference model: what each source reported last about each target, and the requests between choice and end. */
private class LeavingOracle {
    private class Request(var attempts: Int = 0, var avoid: TargetState? = null)

    private var now = MonotonicTime(0)
    private var wall = WALL
    private val registry = TargetRegistry()
    private val queue = AdmissionQueue<Request>().also { it.resize(TARGETS * OWNED_SLOTS) }
    private val random = Random(1)
    private val usedSlots = mutableMapOf<TargetState, Int>()
    private val chosen = mutableListOf<Pair<Request, TargetState>>()
    private val running = mutableListOf<Pair<Request, TargetState>>()
    private var bundleLeaving = emptySet<TargetName>()
    private var planned = emptySet<TargetName>()
    private var plannedAt = WALL
    private var latestWall = WALL
    private var vmList = emptySet<TargetName>()
    private val announced = mutableMapOf<VmName, Set<TargetName>>()
    private val drainingHealth = mutableSetOf<TargetState>()
    private val drainingAnswer = mutableSetOf<TargetState>()
    private val unreachableSinceAnswer = mutableSetOf<TargetState>()
    private val chooser = RouteChooser(RouteLimits(::acquire) { _, _ -> null })

    init {
        applyBundle(LeavingCommand.NewBundle(15, 0, 0, Duration.ZERO))
    }

    fun run(command: LeavingCommand) {
        when (command) {
            is LeavingCommand.NewBundle -> applyBundle(command)
            is LeavingCommand.VmList -> {
                vmList = namesOf(command.leaving)
                registry.applyVmList(vmList)
            }
            is LeavingCommand.Announcement -> {
                announced[PEERS[command.peer]] = namesOf(command.leaving)
                registry.applyPeerAnnouncement(PEERS[command.peer], namesOf(command.leaving))
            }
            is LeavingCommand.Health -> probe(command.target, command.health)
            LeavingCommand.Arrive -> route(Request())
            is LeavingCommand.Dispatch -> chosen.pick(command.index)?.let { dispatch(it) }
            is LeavingCommand.Finish -> running.pick(command.index)?.let { finish(it, command.ending) }
            LeavingCommand.Poll -> queue.poll(now).next?.let { route(it.request) }
            is LeavingCommand.Advance -> advance(command)
        }
        registry.table.targets.forEach {
            check(it.isLeaving(wall) == isLeaving(it)) { "${it.name}: ${it.leavingSources}, expected ${isLeaving(it)}" }
        }
    }

    fun finish() {
        while (chosen.isNotEmpty()) dispatch(chosen.first())
        while (running.isNotEmpty()) finish(running.first(), Ending.ANSWERED)
        check(usedSlots.all { (target, used) -> used == 0 && target.inFlight == 0 }) { "slots are still occupied" }
    }

    private fun advance(command: LeavingCommand.Advance) {
        now += command.time
        wall = if (command.wallStepsBack) wall - command.time else wall + command.time
        latestWall = maxOf(latestWall, wall)
        // The daemon reads the marks for its heartbeats at least once in this time.
        registry.table.targets.forEach { it.isLeaving(wall) }
    }

    private fun isLeaving(target: TargetState): Boolean {
        val name = target.name
        return registry.table.targetOrNull(name) !== target ||
            name in bundleLeaving ||
            name in vmList ||
            announced.values.any { name in it } ||
            (name in planned && latestWall >= plannedAt) ||
            target in drainingHealth ||
            target in drainingAnswer
    }

    private fun applyBundle(command: LeavingCommand.NewBundle) {
        bundleLeaving = namesOf(command.leaving)
        planned = namesOf(command.planned)
        plannedAt = wall + command.plannedIn
        latestWall = wall
        val targets = (0 until TARGETS).filter { command.listed and (1 shl it) != 0 }.map { number ->
            val name = targetName(number)
            val intent = if (name in bundleLeaving) DesiredTargetState.LEAVING else DesiredTargetState.ACTIVE
            target(number, intent = intent, leavesAt = plannedAt.takeIf { name in planned })
        }
        registry.applyBundle(bundle(targets), now)
    }

    private fun probe(number: Int, health: TargetProbeResult) {
        val target = registry.table.targetOrNull(targetName(number)) ?: return
        target.recordHealth(health, null, now)
        when (health) {
            TargetProbeResult.DRAINING -> drainingHealth += target
            TargetProbeResult.UNREACHABLE -> unreachableSinceAnswer += target
            TargetProbeResult.READY, TargetProbeResult.COLD -> {
                drainingHealth -= target
                val restarted = unreachableSinceAnswer.remove(target) || health == TargetProbeResult.COLD
                if (restarted) drainingAnswer -= target
            }
        }
    }

    private fun acquire(target: TargetState): RefusalReason? {
        val used = usedSlots[target] ?: 0
        if (used == OWNED_SLOTS) return RefusalReason.NO_SLOT
        usedSlots[target] = used + 1
        return null
    }

    private fun route(request: Request) {
        val routeRequest = RouteRequest(now, wall, random, avoidTarget = request.avoid)
        when (val decision = chooser.route(plan(registry, PeerRouteRegistry()), routeRequest)) {
            is RouteDecision.LocalTarget -> {
                check(!isLeaving(decision.target)) { "${decision.target.name} was chosen although it is leaving" }
                chosen += request to decision.target
            }
            RouteDecision.Queue -> {
                val staying = registry.table.targets.any { !isLeaving(it) }
                check(staying) { "a request was queued although all targets are leaving" }
                queue.offer(request, 1.0, now + 60.seconds, now)
            }
            is RouteDecision.Refuse -> Unit
            is RouteDecision.Peer -> error("there is no peer")
        }
    }

    private fun dispatch(attempt: Pair<Request, TargetState>) {
        chosen -= attempt
        val (request, target) = attempt
        val refusal = target.dispatchRefusalOrNull(wall)
        check((refusal != null) == isLeaving(target)) { "dispatch to ${target.name}: refused with $refusal" }
        if (refusal == null) {
            running += attempt
        } else {
            release(target)
            retry(request, target)
        }
    }

    private fun finish(attempt: Pair<Request, TargetState>, ending: Ending) {
        running -= attempt
        val (request, target) = attempt
        when (ending) {
            Ending.ANSWERED -> target.recordSuccess(5.milliseconds)
            Ending.FAILED -> target.recordFailure(now)
            Ending.SHED -> Unit
            Ending.DRAINING -> {
                target.recordDrainingAnswer()
                drainingAnswer += target
                unreachableSinceAnswer -= target
            }
        }
        release(target)
        if (ending == Ending.SHED || ending == Ending.DRAINING) retry(request, target)
    }

    private fun retry(request: Request, failed: TargetState) {
        request.avoid = failed
        if (request.attempts++ < 3) route(request)
    }

    private fun release(target: TargetState) {
        usedSlots[target] = usedSlots.getValue(target) - 1
        target.end()
    }

    private fun <T> List<T>.pick(index: Int): T? = if (isEmpty()) null else this[index % size]
}

class LeavingTargetsPropertyTest :
    FunSpec({
        test("no request is chosen for or dispatched to a target that any source has reported as leaving") {
            fuzz("leaving targets", { random -> List(COMMANDS) { command(random) } }) { commands ->
                val oracle = LeavingOracle()
                commands.forEach(oracle::run)
                oracle.finish()
            }
        }
    })
