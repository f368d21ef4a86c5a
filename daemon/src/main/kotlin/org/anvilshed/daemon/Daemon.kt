package org.anvilshed.daemon

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.delay
import org.anvilshed.core.lifecycle.DrainStep
import org.anvilshed.daemon.settings.Settings
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val logger = KotlinLogging.logger {}
private val DRAIN_POLL: Duration = 50.milliseconds

/** Time for releasing the seats at the end; during an outage of the platform they are recovered by the peers. */
private val SEAT_RELEASE_LIMIT: Duration = 5.seconds

/** Time to live of lookups that is assumed if there was no bundle. */
private val DEFAULT_LOOKUP_TIME_TO_LIVE: Duration = 5.seconds

/** A running entry VM process. */
internal class Daemon private constructor(private val parts: DaemonParts) {
    /** Ports of callers, peers and operations. */
    val ports: DaemonPorts get() = parts.ports

    /**
     * Starts the graceful shutdown and returns at once. A second call stops the admission of new requests. May be
     * called by any thread.
     */
    fun requestStop() {
        val timeToLive = parts.steering.current?.bundle?.lookupTimeToLive ?: DEFAULT_LOOKUP_TIME_TO_LIVE
        parts.drain.requestStop(parts.clock.now(), timeToLive)
        logger.info { "stopping: ${parts.drain.phase.name.lowercase()}" }
        parts.announceLeaving()
    }

    /** Waits until the process may end, releases the seats and closes the ports. Returns the exit code. */
    suspend fun awaitEnd(): Int {
        while (true) {
            val step = parts.drain.step(parts.clock.now())
            if (step is DrainStep.Exit) {
                close()
                logger.info { "stopped with exit code ${step.code}" }
                return step.code
            }
            delay(DRAIN_POLL)
        }
    }

    /** Ends the process's work at once, without waiting for requests; for tests. */
    suspend fun kill(): Unit = parts.close()

    private suspend fun close() {
        if (!parts.releaseSeats(SEAT_RELEASE_LIMIT)) logger.warn { "the seats could not be released" }
        parts.close()
    }

    companion object {
        /**
         * Starts the daemon and returns when all ports are open.
         *
         * @throws java.io.IOException if an address cannot be used.
         */
        suspend fun start(settings: Settings, clock: DaemonClock = SystemClock): Daemon {
            val parts = DaemonWiring(settings, clock).start()
            logger.info { "${parts.local.identity} of zone ${parts.local.zone} listens on ${parts.ports}" }
            return Daemon(parts)
        }
    }
}

/** Ports of one daemon. */
internal data class DaemonPorts(val callers: Int, val peers: Int, val operations: Int)
