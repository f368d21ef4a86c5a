package org.anvilshed.core.bundle

import kotlinx.serialization.Serializable

/**
 * A bundle as stored on the platform and sent between VMs. Its content must not be trusted before a [BundleVerifier]
 * has accepted it.
 *
 * @property bytes exact bytes of the TOML document that the author signed.
 * @property author name of the operator who submitted the bundle.
 * @property authorSignature Ed25519 signature, see [signAsAuthor].
 * @property submissionId random write id of the submission, by which the submitter recognizes its own record.
 * @property signOff approval by the second operator, or `null` if it is still missing.
 */
@Serializable
public data class SignedBundle(
    public val bytes: BinaryData,
    public val author: String,
    public val authorSignature: BinaryData,
    public val submissionId: String,
    public val signOff: SignOff? = null,
)

/**
 * Approval of a bundle by the second operator.
 *
 * @property operator name of the second operator.
 * @property signature Ed25519 signature, see [signAsSecondOperator].
 * @property signOffId random write id of the sign-off, by which the second operator recognizes its own record.
 * @property activation time and fractions from which the planned moves continue; covered by [signature].
 */
@Serializable
public data class SignOff(
    public val operator: String,
    public val signature: BinaryData,
    public val signOffId: String,
    public val activation: ActivationRecord,
)
