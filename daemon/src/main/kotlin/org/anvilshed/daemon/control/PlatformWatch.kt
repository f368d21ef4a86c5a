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
 * Reads bundles from the platform while [mayWatch] returns `true`: on the selected watchers of a zone, and on a VM
 * without a bundle. Used on the control thread.
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

    /** Time of the last answer of the platform, or `null` if it has not answered yet. */
    @Volatile
    var answeredAt: MonotonicTime? = null
        private set

    /** Returns whether the platform has not answered for two watch timeouts, so that a newer bundle may be missing. */
    fun isStale(now: MonotonicTime): Boolean = answeredAt.let { it == null || now - it > WATCH_TIMEOUT * 2 }

    /** Watches the platform until the coroutine is cancelled. */
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
        // The revision is read before the bundle, so that the watch reports every change after the read of the bundle.
        val listing = platform.list(BUNDLES_PREFIX).orNull() ?: return false
        if (!readCurrent()) return false
        var revision = listing.revision
        while (mayWatch()) {
            when (val result = platform.watch(BUNDLES_PREFIX, revision, WATCH_TIMEOUT)) {
                is PlatformResult.Success -> {
                    recordAnswer()
                    revision = result.value.revision
                    if (result.value.events.any { it.key == CURRENT_BUNDLE_KEY } && !readCurrent()) return false
                }

                PlatformResult.RevisionTooOld -> return true

                is PlatformResult.Failure -> return recordFailure(result)
            }
        }
        return true
    }

    private suspend fun readCurrent(): Boolean {
        val current = when (val result = store.readCurrent()) {
            is PlatformResult.Success -> result.value.value
            PlatformResult.NotFound -> return true.also { recordAnswer() }
            is PlatformResult.Failure -> return recordFailure(result)
        }
        recordAnswer()
        if (current.version <= bundles.state.version) return true
        val record = store.readRecord(current.version).orNull() ?: return false
        bundles.offer(record.value, "the platform")
        return true
    }

    private fun <T : Any> PlatformResult<T>.orNull(): T? = when (this) {
        is PlatformResult.Success -> value.also { recordAnswer() }
        is PlatformResult.Failure -> null.also { recordFailure(this) }
    }

    private fun recordAnswer() {
        answeredAt = clock.now()
        if (!reachable) logger.info { "the platform answers again" }
        reachable = true
    }

    private fun recordFailure(failure: PlatformResult.Failure): Boolean {
        metrics.recordPlatformFailure()
        if (reachable) logger.warn { "the platform does not answer and is asked again: $failure" }
        reachable = false
        return false
    }
}
