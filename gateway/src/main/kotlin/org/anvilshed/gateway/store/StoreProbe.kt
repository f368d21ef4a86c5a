package org.anvilshed.gateway.store

import kotlinx.coroutines.delay
import org.anvilshed.core.fleet.SilenceAction
import org.anvilshed.core.fleet.SilenceDetector
import org.anvilshed.core.fleet.StoreContact
import org.anvilshed.gateway.DecisionLog
import org.anvilshed.gateway.GatewayMetrics
import org.anvilshed.gateway.MonotonicClock
import kotlin.time.Duration

/**
 * Probes the store while it sends nothing, and lets the [feeds] watch on new connections when [detector] finds that the
 * present ones have gone silent.
 */
internal class StoreProbe(
    private val store: ObjectStore,
    private val feeds: Collection<StoreFeed>,
    private val contact: StoreContact,
    private val detector: SilenceDetector,
    private val metrics: GatewayMetrics,
    private val log: DecisionLog,
    private val clock: MonotonicClock,
) {
    /** Probes the store until cancelled. */
    suspend fun run() {
        while (true) {
            delay(detector.period)
            // A response states the revision as a probe does, so the probe is due a period after the latest one.
            while (!detector.isVerifying) delay(remainingQuietTime() ?: break)
            do {
                val action = probe()
            } while (action == SilenceAction.PROBE_AGAIN)
        }
    }

    private fun remainingQuietTime(): Duration? =
        contact.latestOwnResponse?.let { it + detector.period - clock() }?.takeIf { it.isPositive() }

    private suspend fun probe(): SilenceAction {
        val result = store.latestRevision(detector.timeout)
        val now = clock()
        if (result !is StoreResult.Success) {
            val hadNoResponse = result is StoreResult.NoAnswer && result.isSilent
            val action = detector.recordFailure(hadNoResponse)
            if (detector.isStoreLost) contact.recordFailure(hadNoResponse, now)
            if (action == SilenceAction.PROBE_AGAIN) store.renewConnections()
            return action
        }
        contact.recordResponse(now)
        val known = feeds.maxOf { it.verifiedRevision }
        // Feeds list all objects again after a restore, whatever their connections do.
        val isBehind = result.value.era == known.era && result.value > known
        val action = detector.recordResponse(isBehind, now)
        if (action == SilenceAction.RENEW) {
            log.info("store-connections-renewed", "known" to known, "revision" to result.value, "behind" to isBehind)
            metrics.countStoreRenewal()
            store.renewConnections()
            feeds.forEach { it.watchAgain() }
        }
        return action
    }
}
