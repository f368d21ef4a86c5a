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

/** Longest time for releasing the shares at the exit. In an outage of the platform the peers take them over later. */
private val SHARE_RELEASE_LIMIT: Duration = 5.seconds

/** Assumed time to live of lookups if no bundle was in force. */
private val DEFAULT_LOOKUP_TIME_TO_LIVE: Duration = 5.seconds

/** A running entry VM process. */
internal class Daemon private constructor(private val components: DaemonComponents) {
    /** Ports of callers, peers and operations. */
    val ports: DaemonPorts get() = components.ports

    /**
     * Starts the graceful shutdown and returns at once. After a second call no new requests are admitted. May be called
     * by any thread.
     */
    fun requestStop() {
        val timeToLive = components.steering.current?.bundle?.lookupTimeToLive ?: DEFAULT_LOOKUP_TIME_TO_LIVE
        components.drain.requestStop(components.clock.now(), timeToLive)
        logger.info { "stopping: ${components.drain.phase.name.lowercase()}" }
        components.announceLeaving()
    }

    /** Waits until the process may exit, releases the shares and closes the ports. Returns the exit code. */
    suspend fun awaitEnd(): Int {
        while (true) {
            val step = components.drain.step(components.clock.now())
            if (step is DrainStep.Exit) {
                close()
                logger.info { "stopped with exit code ${step.code}" }
                return step.code
            }
            delay(DRAIN_POLL)
        }
    }

    /** Stops the daemon at once without waiting for requests or releasing shares. Used by tests. */
    suspend fun kill(): Unit = components.close()

    private suspend fun close() {
        if (!components.releaseShares(SHARE_RELEASE_LIMIT)) {
            logger.warn {
                "the shares could not be released in time; the process exits and its peers take them over"
            }
        }
        components.close()
    }

    companion object {
        /**
         * Starts a daemon and returns when all ports are open.
         *
         * @throws java.io.IOException if an address cannot be used.
         */
        suspend fun start(settings: Settings, clock: DaemonClock = SystemClock): Daemon {
            val components = DaemonWiring(settings, clock).start()
            logger.info {
                "${components.local.identity} of zone ${components.local.zone} listens on ${components.ports}"
            }
            return Daemon(components)
        }
    }
}

/** Ports on which a daemon listens. */
internal data class DaemonPorts(val callers: Int, val peers: Int, val operations: Int)
