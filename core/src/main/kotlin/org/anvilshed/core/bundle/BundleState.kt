package org.anvilshed.core.bundle

/**
 * Which bundle is in force on one VM process, as an immutable snapshot. A new process starts with an empty state.
 *
 * @property inForce bundle in force, `null` until the first one is accepted; its version never falls.
 * @property rejections number of rejected offers by reason.
 */
public data class BundleState(
    public val inForce: VerifiedBundle? = null,
    public val rejections: Map<BundleRejection, Long> = emptyMap(),
) {
    /** Version in force, 0 if there is none. */
    public val version: Long get() = inForce?.version ?: 0

    /**
     * Decides whether [offered], which may come from a peer or from a lagging read of the platform, comes into force.
     * Only a valid bundle with a higher version than the one in force does.
     */
    public fun offer(offered: SignedBundle, verifier: BundleVerifier): BundleDecision {
        val current = inForce
        // Repeated offers of the bundle in force are usual and need no verification.
        if (current != null && current.signed.bytes == offered.bytes) {
            return BundleDecision(this, BundleOfferOutcome.AlreadyInForce)
        }
        val revoked = current?.bundle?.revokedKeys.orEmpty()
        val verified = when (val result = verifier.verify(offered, revoked)) {
            is VerificationResult.Rejected -> return rejected(result.reason, result.message)
            is VerificationResult.Verified -> result.bundle
        }
        if (verified.version == version) {
            val message = "version $version is in force with digest ${current?.digest}, not ${verified.digest}"
            return rejected(BundleRejection.OTHER_DIGEST, message)
        }
        if (verified.version < version) {
            val message = "version ${verified.version} is older than version $version, which is in force"
            return rejected(BundleRejection.OLDER_VERSION, message)
        }
        return BundleDecision(copy(inForce = verified), BundleOfferOutcome.CameIntoForce(verified))
    }

    private fun rejected(reason: BundleRejection, message: String): BundleDecision {
        val counted = copy(rejections = rejections + (reason to (rejections[reason] ?: 0) + 1))
        return BundleDecision(counted, BundleOfferOutcome.Rejected(reason, message))
    }
}

/** State after an offer, and what happened to the offer. */
public data class BundleDecision(public val state: BundleState, public val outcome: BundleOfferOutcome)

/** What happened to an offered bundle. */
public sealed interface BundleOfferOutcome {
    /** [bundle] replaced the one in force: announce it to the neighbors at once. */
    public data class CameIntoForce(public val bundle: VerifiedBundle) : BundleOfferOutcome

    /** The offered bundle is the one in force. */
    public data object AlreadyInForce : BundleOfferOutcome

    /** The bundle in force stays. */
    public data class Rejected(public val reason: BundleRejection, public val message: String) : BundleOfferOutcome
}
