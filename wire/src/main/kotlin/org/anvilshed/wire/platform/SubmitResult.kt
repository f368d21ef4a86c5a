package org.anvilshed.wire.platform

import org.anvilshed.core.bundle.BundleDigest

/** Result of [BundleProcedures.submit]; see also [ProcedureFailure]. */
public sealed interface SubmitResult {
    /** The bundle is stored and awaits the sign-off by another operator. */
    public data class Submitted(
        public val version: Long,
        public val digest: BundleDigest,
        public val submissionId: String,
    ) : SubmitResult

    /** [existingAuthor] has already submitted a bundle with the same version. */
    public data class VersionTaken(
        public val version: Long,
        public val existingAuthor: String,
        public val existingDigest: BundleDigest,
        public val existingSubmissionId: String,
    ) : SubmitResult
}
