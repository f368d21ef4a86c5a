package org.anvilshed.daemon.control

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.delay
import org.anvilshed.core.MonotonicTime
import org.anvilshed.daemon.DaemonClock
import org.anvilshed.daemon.metrics.DaemonMetrics
import org.anvilshed.wire.platform.BUNDLES_PREFIX
import org.anvilshed.wire.platform.BundleStore
import org.anvilshed.wire.platform.CURRENT_BUNDLE_KEY
import org.anvilshed.wire.platform.PlatformClient
import org.anvilshed.wire.platform.PlatformResult
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val logger = KotlinLogging.logger {}
private val WATCH_TIMEOUT: Duration = 5.seconds
private val FAILURE_DELAY: Duration = 500.milliseconds
private val IDLE_DELAY: Duration = 200.milliseconds

/**
 * Reads bundles from the platform while [mayWatch] says so: on the selected watchers of a zone, and on a VM without a
 * bundle. Used on the control thread.
 */
internal class PlatformWatch(
    private val platform: PlatformClient,
    private val bundles: BundleKeeper,
    private val clock: DaemonClock,
    private val metrics: DaemonMetrics,
    private val mayWatch: () -> Boolean,
) {
    private val store = BundleStore(platform)
    private var reachable = true

    /** When the platform last answered, or `null`. */
    @Volatile
    var answeredAt: MonotonicTime? = null
        private set

    /** Whether the platform has been silent for two watch timeouts, so that newer bundles may have been missed. */
    fun isStale(now: MonotonicTime): Boolean = answeredAt.let { it == null || now - it > WATCH_TIMEOUT * 2 }

    suspend fun run() {
        while (true) {
            if (!mayWatch()) {
                delay(IDLE_DELAY)
            } else if (!follow()) {
                delay(FAILURE_DELAY)
            }
        }
    }

    /** Reads the current bundle and then follows changes. Returns `false` after a failure. */
    private suspend fun follow(): Boolean {
        // The list comes first, so that no change between the read and the watch is missed.
        val listing = platform.list(BUNDLES_PREFIX).orNull() ?: return false
        if (!readCurrent()) return false
        var revision = listing.revision
        while (mayWatch()) {
            when (val result = platform.watch(BUNDLES_PREFIX, revision, WATCH_TIMEOUT)) {
                is PlatformResult.Success -> {
                    answered()
                    revision = result.value.revision
                    if (result.value.events.any { it.key == CURRENT_BUNDLE_KEY } && !readCurrent()) return false
                }

                PlatformResult.RevisionTooOld -> return true

                is PlatformResult.Failure -> return failed(result)
            }
        }
        return true
    }

    private suspend fun readCurrent(): Boolean {
        val current = when (val result = store.readCurrent()) {
            is PlatformResult.Success -> result.value.value
            PlatformResult.NotFound -> return true.also { answered() }
            is PlatformResult.Failure -> return failed(result)
        }
        answered()
        if (current.version <= bundles.state.version) return true
        val record = store.readRecord(current.version).orNull() ?: return false
        bundles.offer(record.value, "the platform")
        return true
    }

    private fun <T : Any> PlatformResult<T>.orNull(): T? = when (this) {
        is PlatformResult.Success -> value.also { answered() }
        is PlatformResult.Failure -> null.also { failed(this) }
    }

    private fun answered() {
        answeredAt = clock.now()
        if (!reachable) logger.info { "the platform answers again" }
        reachable = true
    }

    private fun failed(failure: PlatformResult.Failure): Boolean {
        metrics.recordPlatformFailure()
        if (reachable) logger.warn { "the platform does not answer: $failure" }
        reachable = false
        return false
    }
}
