package org.anvilshed.wire.platform

import org.anvilshed.core.bundle.BundleDigest

/** Result of [BundleProcedures.signOff]; see also [ProcedureFailure]. */
public sealed interface SignOffResult {
    /** The bundle is signed off and `bundles/current` names it. */
    public data class SignedOff(public val version: Long, public val digest: BundleDigest) : SignOffResult

    /** [operator] has already signed off the same bundle. `bundles/current` names it or a higher version. */
    public data class AlreadySignedOff(
        public val version: Long,
        public val digest: BundleDigest,
        public val operator: String,
    ) : SignOffResult

    /** The bundle is signed off, but does not come into force: `bundles/current` names the higher [currentVersion]. */
    public data class Superseded(public val version: Long, public val currentVersion: Long) : SignOffResult

    /**
     * The bundle is signed off, but will not come into force, since it must not follow the current bundle, which has
     * changed meanwhile. Submit the document again with a new version.
     */
    public data class Refused(public val version: Long, public val message: String) : SignOffResult
}
