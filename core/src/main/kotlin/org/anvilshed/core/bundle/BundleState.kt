package org.anvilshed.core.bundle

/**
 * Immutable snapshot of the bundle in force on one VM process. A new process starts with an empty state.
 *
 * @property inForce bundle in force, `null` until the first bundle is accepted; its version never decreases.
 * @property rejections number of rejected offers by reason.
 */
public data class BundleState(
    public val inForce: VerifiedBundle? = null,
    public val rejections: Map<BundleRejection, Long> = emptyMap(),
) {
    /** Version in force, 0 if there is none. */
    public val version: Long get() = inForce?.version ?: 0

    /**
     * Decides whether [offered], which may come from a peer or from a stale read of the platform, comes into force.
     * Only a valid bundle with a higher version than the bundle in force is accepted.
     */
    public fun offer(offered: SignedBundle, verifier: BundleVerifier): BundleDecision {
        val current = inForce
        // The bundle in force is offered repeatedly in normal operation; it is already verified.
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

/** State after a bundle was offered, and the outcome of the offer. */
public data class BundleDecision(public val state: BundleState, public val outcome: BundleOfferOutcome)

/** Outcome of an offer to [BundleState.offer]. */
public sealed interface BundleOfferOutcome {
    /** [bundle] is now in force; the caller announces it to the neighbors immediately. */
    public data class CameIntoForce(public val bundle: VerifiedBundle) : BundleOfferOutcome

    /** The offered bundle is already in force. */
    public data object AlreadyInForce : BundleOfferOutcome

    /** The offered bundle was rejected, and the bundle in force is unchanged. */
    public data class Rejected(public val reason: BundleRejection, public val message: String) : BundleOfferOutcome
}
