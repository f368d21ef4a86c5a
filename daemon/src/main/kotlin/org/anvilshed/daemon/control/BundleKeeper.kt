package org.anvilshed.daemon.control

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import kotlinx.coroutines.withContext
import org.anvilshed.core.bundle.BundleOfferOutcome
import org.anvilshed.core.bundle.BundleState
import org.anvilshed.core.bundle.BundleVerifier
import org.anvilshed.core.bundle.SignedBundle
import org.anvilshed.core.bundle.VerifiedBundle
import org.anvilshed.core.membership.AdvertisedBundle
import org.anvilshed.daemon.metrics.DaemonMetrics

private val logger = KotlinLogging.logger {}

/**
 * Holds the bundle in force on this VM. Used on the control thread; signatures are verified on other threads, for one
 * offered bundle at a time.
 *
 * @param onInForce called with each bundle that comes into force, in the order of their versions.
 */
internal class BundleKeeper(
    private val verifier: BundleVerifier,
    private val metrics: DaemonMetrics,
    private val onInForce: (VerifiedBundle) -> Unit,
) {
    private val offers = Mutex()
    private var lastRejected: SignedBundle? = null

    /** Latest state; may be read by any thread. */
    @Volatile
    var state: BundleState = BundleState()
        private set

    /** Bundle in force, or `null` before the first one. */
    val inForce: VerifiedBundle? get() = state.inForce

    /** Version and digest of the bundle in force, as heartbeats announce them. */
    val advertised: AdvertisedBundle? get() = inForce?.let { AdvertisedBundle(it.version, it.digest) }

    /**
     * Brings [offered] into force if it is valid and newer than the bundle in force.
     *
     * @param source origin of the bundle, for the log.
     * @return `false` if the bundle was rejected.
     */
    suspend fun offer(offered: SignedBundle, source: String): Boolean = offers.withLock {
        val decision = withContext(Dispatchers.Default) { state.offer(offered, verifier) }
        state = decision.state
        when (val outcome = decision.outcome) {
            BundleOfferOutcome.AlreadyInForce -> Unit

            is BundleOfferOutcome.CameIntoForce -> {
                logger.info { "bundle ${outcome.bundle.version} is in force, received from $source" }
                onInForce(outcome.bundle)
            }

            is BundleOfferOutcome.Rejected -> {
                metrics.recordRejection(outcome.reason)
                if (lastRejected != offered) {
                    logger.warn {
                        "rejected a bundle from $source and kept the bundle in force: ${outcome.message}"
                    }
                }
                lastRejected = offered
            }
        }
        decision.outcome !is BundleOfferOutcome.Rejected
    }
}
