package org.anvilshed.wire.platform

import org.anvilshed.core.bundle.ActivationRecord
import org.anvilshed.core.bundle.SignOff
import org.anvilshed.core.bundle.SignedBundle
import org.anvilshed.core.bundle.signAsAuthor
import org.anvilshed.core.bundle.signAsSecondOperator

private val ACTIVATION = ActivationRecord(TestBundles.time, emptyList())

/** Returns a bundle that must not come into force; [id] makes it differ from all others. */
fun forgedBundle(version: Long, kind: ForgeryKind, id: String): SignedBundle {
    val submission = submission(version, id)
    return when (kind) {
        ForgeryKind.SINGLE_SIGNED -> submission

        ForgeryKind.SAME_OPERATOR -> signedOff(submission, "asha")

        ForgeryKind.UNKNOWN_SECOND -> signedOff(submission, "mallory")

        ForgeryKind.REVOKED_SECOND -> signedOff(submission, "dora")

        ForgeryKind.CHANGED_BYTES ->
            signedOff(submission, "brice").copy(bytes = TestBundles.document(version, "changed $id"))

        ForgeryKind.MOVED_SIGN_OFF ->
            submission.copy(signOff = signedOff(submission(version, "other $id"), "brice").signOff)
    }
}

private fun submission(version: Long, id: String): SignedBundle {
    val bytes = TestBundles.document(version, id)
    return SignedBundle(bytes, "asha", signAsAuthor(bytes, TestBundles.keys.getValue("asha").private), id)
}

private fun signedOff(submission: SignedBundle, operator: String): SignedBundle {
    val signature = signAsSecondOperator(submission, ACTIVATION, TestBundles.keys.getValue(operator).private)
    return submission.copy(signOff = SignOff(operator, signature, "o-${submission.submissionId}", ACTIVATION))
}
