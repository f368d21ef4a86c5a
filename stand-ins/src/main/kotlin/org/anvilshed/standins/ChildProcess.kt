package org.anvilshed.standins

import java.nio.file.Path
import java.util.concurrent.TimeUnit
import kotlin.io.path.exists
import kotlin.io.path.readLines
import kotlin.io.path.readText
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

private const val POLL_INTERVAL_MS = 10L
private const val READY_PREFIX = "ready "

/** Process of a local deployment; its standard output and standard error are written to the file [log]. */
public class ChildProcess internal constructor(
    public val name: String,
    private val process: Process,
    public val log: Path,
) {
    /** Whether the process still runs. */
    public val isAlive: Boolean get() = process.isAlive

    /** Process id. */
    public val id: Long get() = process.pid()

    /** Asks the process to stop gracefully, with SIGTERM. */
    public fun terminate() {
        process.destroy()
    }

    /** Sends SIGKILL and waits until the process has ended. */
    public fun kill() {
        process.destroyForcibly().waitFor()
    }

    /** Pauses the process with SIGSTOP until [resume]. */
    public fun pause(): Unit = signal("STOP")

    /** Continues the process with SIGCONT after [pause]. */
    public fun resume(): Unit = signal("CONT")

    /** Waits until the process has ended; returns its exit code, or `null` if it still runs after [limit]. */
    public fun awaitExit(limit: Duration): Int? =
        if (process.waitFor(limit.inWholeMilliseconds, TimeUnit.MILLISECONDS)) process.exitValue() else null

    /** Waits until a stand-in has printed the line with its control port; returns all lines of its output so far. */
    internal fun awaitReady(): List<String> {
        waitUntil("$name is ready", 30.seconds) {
            check(isAlive) { "$name ended before it was ready:\n${log.readText()}" }
            log.exists() && log.readText().lines().dropLast(1).any { it.startsWith(READY_PREFIX) }
        }
        return log.readLines()
    }

    private fun signal(name: String) {
        val exit = ProcessBuilder("kill", "-$name", id.toString()).inheritIO().start().waitFor()
        check(exit == 0) { "kill -$name $id failed with exit code $exit" }
    }
}

/** Returns the control port from the line of [lines] in which a stand-in announces it. */
internal fun readyPort(lines: List<String>): Int =
    lines.first { it.startsWith(READY_PREFIX) }.removePrefix(READY_PREFIX).trim().toInt()

/**
 * Waits until [condition] holds.
 *
 * @throws IllegalStateException if [condition] does not hold within [limit]; the message contains [what].
 */
public fun waitUntil(what: String, limit: Duration, condition: () -> Boolean) {
    val end = System.nanoTime() + limit.inWholeNanoseconds
    while (!condition()) {
        check(System.nanoTime() < end) { "condition not met within $limit: $what" }
        Thread.sleep(POLL_INTERVAL_MS)
    }
}
