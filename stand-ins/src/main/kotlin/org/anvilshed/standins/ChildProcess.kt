package org.anvilshed.standins

import java.nio.file.Path
import java.util.concurrent.TimeUnit
import kotlin.io.path.exists
import kotlin.io.path.readLines
import kotlin.io.path.readText
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

private const val POLL_MS = 10L
private const val READY = "ready "

/** A process started by a local deployment; its output goes to [log]. */
public class ChildProcess internal constructor(
    public val name: String,
    private val process: Process,
    public val log: Path,
) {
    /** Whether the process still runs. */
    public val isAlive: Boolean get() = process.isAlive

    /** Process id. */
    public val id: Long get() = process.pid()

    /** Sends SIGTERM. */
    public fun terminate() {
        process.destroy()
    }

    /** Sends SIGKILL and waits for the end. */
    public fun kill() {
        process.destroyForcibly().waitFor()
    }

    /** Sends SIGSTOP. */
    public fun pause(): Unit = signal("STOP")

    /** Sends SIGCONT. */
    public fun resume(): Unit = signal("CONT")

    /** Waits for the end; returns the exit code or `null` if the process still runs after [limit]. */
    public fun awaitExit(limit: Duration): Int? =
        if (process.waitFor(limit.inWholeMilliseconds, TimeUnit.MILLISECONDS)) process.exitValue() else null

    /** Waits for the line by which a stand-in announces its control port; returns all lines up to it. */
    internal fun awaitReady(): List<String> {
        waitUntil("$name is ready", 30.seconds) {
            check(isAlive) { "$name ended at its start:\n${log.readText()}" }
            log.exists() && log.readText().lines().dropLast(1).any { it.startsWith(READY) }
        }
        return log.readLines()
    }

    private fun signal(name: String) {
        val exit = ProcessBuilder("kill", "-$name", id.toString()).inheritIO().start().waitFor()
        check(exit == 0) { "kill -$name $id ended with $exit" }
    }
}

/** Port in the line of [lines] by which a stand-in announces its control port. */
internal fun readyPort(lines: List<String>): Int =
    lines.first { it.startsWith(READY) }.removePrefix(READY).trim().toInt()

/**
 * Waits until [condition] holds.
 *
 * @throws IllegalStateException if it does not within [limit]; the message names [what].
 */
public fun waitUntil(what: String, limit: Duration, condition: () -> Boolean) {
    val end = System.nanoTime() + limit.inWholeNanoseconds
    while (!condition()) {
        check(System.nanoTime() < end) { "not within $limit: $what" }
        Thread.sleep(POLL_MS)
    }
}
