package org.anvilshed.wire.platform

import org.anvilshed.core.bundle.BundleDigest

/** Result of [BundleProcedures.signOff]; see also [ProcedureFailure]. */
public sealed interface SignOffResult {
    /** The bundle is signed off and `bundles/current` names it. */
    public data class SignedOff(public val version: Long, public val digest: BundleDigest) : SignOffResult

    /** [operator] signed the same bundle off before. `bundles/current` names it or a higher version. */
    public data class AlreadySignedOff(
        public val version: Long,
        public val digest: BundleDigest,
        public val operator: String,
    ) : SignOffResult

    /** The bundle is signed off, but a higher [currentVersion] overtook it, so that it will not come into force. */
    public data class Superseded(public val version: Long, public val currentVersion: Long) : SignOffResult

    /**
     * The bundle is signed off, but it may not follow the current one, which changed meanwhile, so that it will not
     * come into force. Submit it once more under a new version.
     */
    public data class Refused(public val version: Long, public val message: String) : SignOffResult
}
