package org.anvilshed.core.bundle

/** Result of [BundleVerifier.verifySubmission]. */
public sealed interface SubmissionVerification {
    /** The author's signature and the document are valid. */
    public data class Verified(public val bundle: Bundle) : SubmissionVerification

    /** The bundle must not be signed off. */
    public data class Rejected(public val reason: BundleRejection, public val message: String) : SubmissionVerification
}
