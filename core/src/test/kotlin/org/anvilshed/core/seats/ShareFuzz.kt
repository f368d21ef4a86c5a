package org.anvilshed.core.seats

import java.util.stream.LongStream
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds

/** Longest time between two faults, in milliseconds. */
private const val LONGEST_GAP = 4000L

/**
 * Time in milliseconds after the last fault within which all shares must be usable again. It covers the isolation
 * limit, the removal of members, the quarantine of their shares and the joining of new members.
 */
private const val RECOVERY_BOUND = 70_000L

/** Fault or change in a [ShareSimulation]; [apply] derives a duration, a rate or another value from its number. */
internal enum class Fault(val apply: ShareSimulation.(SimulatedVm, number: Int) -> Unit) {
    NOTHING({ _, _ -> }),
    CUT_FROM_STORE({ vm, _ -> vm.storeUnreachable = true }),
    CUT_FROM_PEERS({ vm, number -> vm.partition = number }),
    CUT_VM({ vm, number ->
        vm.storeUnreachable = true
        vm.partition = number
    }),
    CUT_ZONE({ vm, number ->
        vms.filter { it.zone == vm.zone }.forEach {
            it.storeUnreachable = true
            it.partition = number
        }
    }),
    HEAL({ _, _ -> heal() }),
    FREEZE({ vm, number -> vm.frozenUntil = now + number * 150L }),
    CRASH({ vm, _ -> vm.alive = false }),
    VANISH({ vm, _ ->
        vm.alive = false
        vm.vanished = true
    }),
    RESTART({ vm, _ ->
        // Only one process at a time can accept connections at an address.
        vms.filter { it.identity.name == vm.identity.name }.forEach { it.alive = false }
        add(vm.zone, vm.identity.name.value)
    }),
    REPLACE({ vm, _ ->
        vm.alive = false
        add(vm.zone)
    }),
    ADD({ vm, _ -> if (running().size < 6) add(vm.zone) }),
    LEAVE({ vm, _ -> leave(vm) }),
    RETIRE({ _, _ -> retireEnded() }),
    OUTAGE({ _, number -> outageUntil = now + number * 150L }),
    SILENT_OUTAGE({ _, number ->
        outageIsSilent = true
        outageUntil = now + number * 150L
    }),
    LOSSES({ _, number -> lossRate = number / 100.0 }),
    DELAYS({ _, number -> longestDelay = 1L + number * 80L }),
    STALE_READS({ _, number -> staleRate = number / 100.0 }),
    DEMAND({ vm, number -> vm.holder.changeDemand(number.toDouble()) }),
    SLOTS({ _, number -> changeSlots(number % 4, 1 + number / 4 % 6) }),
    SEATS({ _, number ->
        changeSettings { it.copy(shares = it.shares * (1 + number % 2)).takeIf { it.shares <= 64 } ?: it }
    }),
    DEADLINE({ _, number -> changeSettings { it.copy(longestDeadline = (1 + number % 10).seconds) } }),
    ISOLATION({ _, number -> changeSettings { it.copy(isolationLimit = (number % 20).seconds) } }),
}

/** Applies [fault] to the process with index [vm], [gap] milliseconds after the previous command. */
internal data class Command(val gap: Long, val fault: Fault, val vm: Int, val number: Int) {
    override fun toString(): String = "+${gap}ms $fault(vm $vm, $number)"
}

/** Runs random sequences of faults in a simulation of [scope] and reports a violation with a shortened sequence. */
internal class ShareFuzz(private val scope: ShareScope) {
    fun run(firstSeed: Long, sequences: Long) {
        LongStream.range(firstSeed, firstSeed + sequences).parallel().forEach { seed ->
            val commands = commandsOf(Random(seed))
            failureOrNull(seed, commands)?.let { failure ->
                val shortened = shorten(seed, commands)
                val message = failureOrNull(seed, shortened)?.message ?: failure.message
                throw AssertionError("$scope seed $seed: $message\n" + shortened.joinToString("\n"), failure)
            }
        }
    }

    private fun commandsOf(random: Random) = List(random.nextInt(3, 15)) {
        val gap = if (random.nextInt(4) == 0) 0 else random.nextLong(LONGEST_GAP)
        Command(gap, Fault.entries.random(random), random.nextInt(100), random.nextInt(1, 100))
    }.flatMap { command -> if (command.vm % 10 == 0) listOf(command, command) else listOf(command) }

    private fun failureOrNull(seed: Long, commands: List<Command>): Throwable? = runCatching {
        val simulation =
            ShareSimulation(seed, scope, zones = listOf(ZONE_A, ZONE_A, ZONE_A, ZONE_B).drop((seed % 3).toInt()))
        simulation.runFor(8000)
        for (command in commands) {
            simulation.runFor(command.gap)
            command.fault.apply(simulation, simulation.vms[command.vm % simulation.vms.size], command.number)
        }
        simulation.runFor(5000)
        simulation.heal()
        if (simulation.running().none { !it.leaving && it.zone == ZONE_A }) simulation.add(ZONE_A)
        simulation.runFor(RECOVERY_BOUND)
        // Shares may still be handed over after the last change of the demand, so less may be usable at times.
        val recovered = simulation.timeUntil(5000) {
            simulation.usableFraction() > 1 - 1e-9 && simulation.areReturnedToZone()
        }
        if (recovered == null) {
            val usable = simulation.usableFraction()
            throw AssertionError("a fraction of $usable of the shares is usable, or a zone lacks some of its own")
        }
    }.exceptionOrNull()

    /** Returns whether members of other zones have handed over all shares of a zone that has members of its own. */
    private fun ShareSimulation.areReturnedToZone() =
        scope !is ShareScope.OfZone || running().all { it.zone == scope.zone || it.holder.usable.shares.isEmpty() }

    private fun shorten(seed: Long, commands: List<Command>): List<Command> {
        val shorter = commands.indices.asSequence()
            .map { index -> commands.filterIndexed { at, _ -> at != index } }
            .firstOrNull { failureOrNull(seed, it) != null }
        return if (shorter == null) commands else shorten(seed, shorter)
    }
}

private fun ShareSimulation.retireEnded() =
    changeSettings { it.copy(retired = vms.filterNot { vm -> vm.alive }.mapTo(HashSet()) { vm -> vm.identity }) }
