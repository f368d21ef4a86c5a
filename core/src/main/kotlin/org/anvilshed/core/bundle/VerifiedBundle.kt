package org.anvilshed.core.bundle

/**
 * A bundle that a [BundleVerifier] has accepted. Only a verifier creates instances.
 *
 * @property digest digest of the exact bytes of the bundle.
 */
public class VerifiedBundle internal constructor(
    public val signed: SignedBundle,
    public val bundle: Bundle,
    public val digest: BundleDigest,
    public val activation: ActivationRecord,
) {
    /** Version of the bundle. */
    public val version: Long get() = bundle.version

    override fun toString(): String = "VerifiedBundle(version $version, digest $digest)"
}
