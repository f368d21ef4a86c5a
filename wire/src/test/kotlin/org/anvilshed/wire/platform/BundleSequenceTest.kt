package org.anvilshed.wire.platform

import io.kotest.core.spec.style.FunSpec
import java.util.concurrent.Executors
import kotlin.random.Random

private const val DEFAULT_SEED = 20261204L
private const val DEFAULT_SEQUENCES = 1_000
private const val WORKERS = 4

private fun failureOf(commands: List<SequenceCommand>): Throwable? =
    runCatching { BundleSimulation().run(commands) }.exceptionOrNull()

/** Removes commands as long as the sequence still fails, first in large chunks and then one by one. */
private fun shorten(failing: List<SequenceCommand>): List<SequenceCommand> {
    var commands = failing
    var chunk = commands.size / 2
    while (chunk > 0) {
        var start = 0
        while (start < commands.size) {
            val candidate = commands.take(start) + commands.drop(start + chunk)
            if (failureOf(candidate) != null) commands = candidate else start += chunk
        }
        chunk /= 2
    }
    return commands
}

/** Failure of a sequence, or `null`, and the number of results and accepted bundles by type. */
private class SequenceResult(val failing: Failing?, val events: Map<String, Int>)

private class Failing(val seed: Long, val commands: List<SequenceCommand>, val failure: Throwable) {
    fun report(): AssertionError {
        val short = shorten(commands)
        val message = "seed $seed: ${failure.message}; shortened to ${short.size} commands, which fail with " +
            "${failureOf(short)?.message}:\n" + short.joinToString("\n")
        return AssertionError(message, failure)
    }
}

private fun runSequence(seed: Long): SequenceResult {
    val commands = randomCommands(Random(seed))
    val simulation = BundleSimulation()
    val failure = runCatching { simulation.run(commands) }.exceptionOrNull()
    return SequenceResult(failure?.let { Failing(seed, commands, it) }, simulation.events)
}

/**
 * Runs random sequences of operator calls, platform faults and VM events with the checks of [BundleSimulation]. Longer
 * runs: `-Danvilshed.fuzz.sequences=10000 -Danvilshed.fuzz.seed=1`.
 */
class BundleSequenceTest :
    FunSpec({
        test("a signed-off bundle reaches all VMs, is never replaced by an older one, and one of two writers wins") {
            val seed = System.getProperty("anvilshed.fuzz.seed")?.toLong() ?: DEFAULT_SEED
            val sequences = System.getProperty("anvilshed.fuzz.sequences")?.toInt() ?: DEFAULT_SEQUENCES
            val workers = Executors.newFixedThreadPool(WORKERS)
            try {
                val results = (0 until sequences).map { workers.submit<SequenceResult> { runSequence(seed + it) } }
                val events = sortedMapOf<String, Int>()
                for (result in results) {
                    result.get().failing?.let { throw it.report() }
                    result.get().events.forEach { (event, count) -> events.merge(event, count, Int::plus) }
                }
                println("$sequences sequences from seed $seed passed: $events")
            } finally {
                workers.shutdownNow()
            }
        }
    })
