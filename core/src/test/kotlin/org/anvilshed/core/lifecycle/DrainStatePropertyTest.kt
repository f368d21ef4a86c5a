package org.anvilshed.core.lifecycle

import io.kotest.core.spec.style.FunSpec
import org.anvilshed.core.MonotonicTime
import org.anvilshed.core.VmName
import org.anvilshed.core.fuzz.fuzz
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val COMMANDS = 120
private val SELF = VmName("nbo-a-1")
private val PEERS = listOf("nbo-a-2", "msa-a-1").map { VmName(it) }
private val DRAIN_LIMIT = 40.seconds

/** Longest time until a peer has received the announcement; the drain waits for it. */
private val ANNOUNCEMENT_DELAY = 2.seconds

private sealed interface DrainCommand {
    data class LookUp(val atPeer: Boolean) : DrainCommand

    data object Begin : DrainCommand

    data class CallFromCache(val index: Int) : DrainCommand

    data class End(val index: Int) : DrainCommand

    data object Stop : DrainCommand

    data class PeerLeaves(val peer: Int) : DrainCommand

    data class TimeToLive(val duration: Duration) : DrainCommand

    data class Advance(val time: Duration) : DrainCommand

    data object Step : DrainCommand
}

private fun command(random: Random): DrainCommand = when (random.nextInt(40)) {
    in 0..5 -> DrainCommand.LookUp(atPeer = random.nextBoolean())
    in 6..10 -> DrainCommand.Begin
    in 11..14 -> DrainCommand.CallFromCache(random.nextInt(100))
    in 15..23 -> DrainCommand.End(random.nextInt(100))
    24 -> if (random.nextInt(3) == 0) DrainCommand.Stop else DrainCommand.Step
    25 -> DrainCommand.PeerLeaves(random.nextInt(2))
    26 -> DrainCommand.TimeToLive((1 + random.nextInt(10)).seconds)
    in 27..33 -> DrainCommand.Advance(random.nextInt(2500).milliseconds)
    else -> DrainCommand.Step
}

/** Checks a drain against a model of the requests in flight and of callers that cache lookup answers. */
private class DrainOracle {
    private val state = DrainState(SELF, DRAIN_LIMIT)
    private var now = MonotonicTime(0)
    private var timeToLive = 5.seconds
    private val cachedUntil = mutableListOf<MonotonicTime>()
    private var inFlight = 0
    private val stops = mutableListOf<MonotonicTime>()
    private val leavingPeers = mutableSetOf<VmName>()
    private var exit: DrainStep.Exit? = null

    fun run(command: DrainCommand) {
        when (command) {
            is DrainCommand.LookUp -> if (command.atPeer) lookUpAtPeer() else lookUp()
            DrainCommand.Begin -> begin()
            is DrainCommand.CallFromCache -> callFromCache(command.index)
            is DrainCommand.End -> if (inFlight > 0) {
                inFlight--
                state.end()
            }
            DrainCommand.Stop -> {
                state.requestStop(now, timeToLive)
                stops += now
            }
            is DrainCommand.PeerLeaves -> leavingPeers += PEERS[command.peer]
            is DrainCommand.TimeToLive -> {
                state.recordListed(now, maxOf(timeToLive, command.duration))
                timeToLive = command.duration
            }
            is DrainCommand.Advance -> now += command.time
            DrainCommand.Step -> step()
        }
    }

    /** Checks that the VM exits without further requests after all lookup answers have expired. */
    fun finish() {
        if (stops.isEmpty()) return check(state.step(now) == DrainStep.Serve) { "a drain began without a signal" }
        while (exit == null && inFlight > 0) run(DrainCommand.End(0))
        now += 15.seconds
        step()
        checkNotNull(exit) { "an idle VM did not exit" }
    }

    private fun lookUp() {
        if (!begin()) return
        val listed = (PEERS + SELF).filter { vm -> state.mayList(vm) { it in leavingPeers } }
        check(listed.none { it in leavingPeers }) { "a leaving peer was listed" }
        check(SELF !in listed || stops.isEmpty()) { "a leaving VM listed itself" }
        check(SELF in listed || stops.isNotEmpty()) { "a serving VM did not list itself" }
        if (SELF in listed) {
            state.recordListed(now, timeToLive)
            cachedUntil += now + timeToLive
        }
        run(DrainCommand.End(0))
    }

    private fun lookUpAtPeer() {
        val stop = stops.firstOrNull()
        if (stop == null || now - stop < ANNOUNCEMENT_DELAY) cachedUntil += now + timeToLive
    }

    private fun callFromCache(index: Int) {
        if (cachedUntil.isEmpty() || now > cachedUntil[index % cachedUntil.size]) return
        val refusing = stops.size > 1 || stops.isNotEmpty() && now - stops[0] >= DRAIN_LIMIT
        check(begin() || refusing) { "a caller was sent to this VM, which is closed" }
        check(state.acceptsNewRequests || stops.size > 1) { "a caller was sent to this VM, which refuses it" }
    }

    private fun begin(): Boolean {
        val begun = state.begin()
        check(begun == (exit == null)) { "begin returned $begun after exit $exit" }
        if (begun) inFlight++
        return begun
    }

    private fun step() {
        val step = state.step(now)
        if (step !is DrainStep.Exit) return check(exit == null) { "$step after $exit" }
        val overLimit = now - stops[0] >= DRAIN_LIMIT
        if (exit == null) check(step.code == if (inFlight == 0) 0 else 3) { "exit ${step.code}, $inFlight in flight" }
        check(exit != null || inFlight == 0 || overLimit) { "exit before the drain limit, $inFlight in flight" }
        check(exit == null || exit == step) { "$exit became $step" }
        exit = step
    }
}

class DrainStatePropertyTest :
    FunSpec({
        test("a drain ends no request early, lists no leaving VM and serves callers until their answers expire") {
            fuzz("drain", { random -> List(COMMANDS) { command(random) } }) { commands ->
                val oracle = DrainOracle()
                commands.forEach(oracle::run)
                oracle.finish()
            }
        }
    })
