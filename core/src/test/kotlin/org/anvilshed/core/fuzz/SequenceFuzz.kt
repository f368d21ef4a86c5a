package org.anvilshed.core.fuzz

import kotlin.random.Random

private const val DEFAULT_SEQUENCES = 1000
private const val DEFAULT_SEED = 20261204L

/**
 * Runs [check] on randomly generated command sequences; on a failure, reports the seed and a shortened sequence.
 *
 * `-Danvilshed.fuzz.sequences` and `-Danvilshed.fuzz.seed` set the number of sequences and the seed of the first one.
 * Commands must be valid in any order and after any of them was removed.
 */
fun <C> fuzz(name: String, generate: (Random) -> List<C>, check: (List<C>) -> Unit) {
    val sequences = Integer.getInteger("anvilshed.fuzz.sequences", DEFAULT_SEQUENCES)
    val firstSeed = java.lang.Long.getLong("anvilshed.fuzz.seed", DEFAULT_SEED)
    for (seed in firstSeed until firstSeed + sequences) {
        val commands = generate(Random(seed))
        val failure = failureOf(commands, check) ?: continue
        val shortened = shorten(commands, check)
        throw AssertionError(
            "$name: seed $seed: ${failureOf(shortened, check)?.message}; commands:\n" + shortened.joinToString("\n"),
            failure,
        )
    }
    println("$name: $sequences sequences from seed $firstSeed passed")
}

private fun <C> failureOf(commands: List<C>, check: (List<C>) -> Unit): Throwable? =
    runCatching { check(commands) }.exceptionOrNull()

/** Removes parts of decreasing size as long as the remaining commands still fail. */
private fun <C> shorten(commands: List<C>, check: (List<C>) -> Unit): List<C> {
    var rest = commands
    var part = rest.size / 2
    while (part > 0) {
        var from = 0
        while (from < rest.size) {
            val candidate = rest.take(from) + rest.drop(from + part)
            if (failureOf(candidate, check) != null) rest = candidate else from += part
        }
        part /= 2
    }
    return rest
}
