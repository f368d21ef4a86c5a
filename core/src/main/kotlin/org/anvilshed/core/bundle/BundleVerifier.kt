package org.anvilshed.core.bundle

import java.security.PublicKey

/**
 * Verifies that a bundle is valid and carries the valid signatures of two different operators.
 *
 * @param operators public keys of the operators by name.
 * @param revoked names of operators whose signatures are never accepted.
 */
public class BundleVerifier(private val operators: Map<String, PublicKey>, private val revoked: Set<String>) {
    /**
     * Verifies the signatures and the document of [signed].
     *
     * @param revokedInForce `revoked_keys` of the bundle in force; empty if there is none.
     */
    public fun verify(signed: SignedBundle, revokedInForce: Set<String> = emptySet()): VerificationResult {
        val bundle = when (val submission = verifySubmission(signed, revokedInForce)) {
            is SubmissionVerification.Rejected ->
                return VerificationResult.Rejected(submission.reason, submission.message)

            is SubmissionVerification.Verified -> submission.bundle
        }
        val signOff = signed.signOff
            ?: return VerificationResult.Rejected(BundleRejection.NOT_SIGNED_OFF, "no second operator has signed")
        val fault = operatorFault(signOff.operator, revokedInForce)
        if (fault != null) return VerificationResult.Rejected(fault.reason, fault.message)
        val key = operators.getValue(signOff.operator)
        // Two names with the same key count as one operator.
        if (signOff.operator == signed.author || key == operators[signed.author]) {
            return VerificationResult.Rejected(
                BundleRejection.SAME_OPERATOR,
                "${signOff.operator} is the same operator as the author ${signed.author}",
            )
        }
        if (!isSignatureValid(signOffPayload(signed, signOff.activation), signOff.signature, key)) {
            val message = "the signature does not match the key of ${signOff.operator}"
            return VerificationResult.Rejected(BundleRejection.FORGED_SIGN_OFF, message)
        }
        return VerificationResult.Verified(VerifiedBundle(signed, bundle, signed.bytes.digest(), signOff.activation))
    }

    /** Verifies the author's signature and the document of [signed] and ignores the second signature. */
    public fun verifySubmission(
        signed: SignedBundle,
        revokedInForce: Set<String> = emptySet(),
    ): SubmissionVerification {
        if (signed.bytes.size > MAXIMUM_BUNDLE_BYTES) {
            val message = "the bundle has ${signed.bytes.size} bytes"
            return SubmissionVerification.Rejected(BundleRejection.TOO_LARGE, message)
        }
        operatorFault(signed.author, revokedInForce)?.let { return it }
        val key = operators.getValue(signed.author)
        if (!isSignatureValid(authorPayload(signed.bytes), signed.authorSignature, key)) {
            val message = "the signature does not match the key of ${signed.author}"
            return SubmissionVerification.Rejected(BundleRejection.FORGED_AUTHOR_SIGNATURE, message)
        }
        return when (val parsed = parseBundle(signed.bytes.toByteArray().decodeToString())) {
            is BundleParseResult.Valid -> SubmissionVerification.Verified(parsed.bundle)

            is BundleParseResult.Invalid ->
                SubmissionVerification.Rejected(BundleRejection.INVALID_DOCUMENT, parsed.faults.joinToString("; "))
        }
    }

    private fun operatorFault(name: String, revokedInForce: Set<String>): SubmissionVerification.Rejected? =
        when (name) {
            !in operators ->
                SubmissionVerification.Rejected(BundleRejection.UNKNOWN_OPERATOR, "operator '$name' is not known")

            in revoked, in revokedInForce ->
                SubmissionVerification.Rejected(
                    BundleRejection.REVOKED_OPERATOR,
                    "the key of operator $name is revoked",
                )

            else -> null
        }
}
