package org.anvilshed.core.bundle

/** Result of [BundleVerifier.verify]. */
public sealed interface VerificationResult {
    /** Both signatures and the document are valid. */
    public data class Verified(public val bundle: VerifiedBundle) : VerificationResult

    /** The bundle must not come into force. */
    public data class Rejected(public val reason: BundleRejection, public val message: String) : VerificationResult
}
