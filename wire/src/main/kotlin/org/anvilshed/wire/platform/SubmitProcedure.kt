package org.anvilshed.wire.platform

import org.anvilshed.core.bundle.BinaryData
import org.anvilshed.core.bundle.Bundle
import org.anvilshed.core.bundle.BundleParseResult
import org.anvilshed.core.bundle.BundleRejection
import org.anvilshed.core.bundle.BundleVerifier
import org.anvilshed.core.bundle.SignedBundle
import org.anvilshed.core.bundle.SubmissionVerification
import org.anvilshed.core.bundle.digest
import org.anvilshed.core.bundle.parseBundle
import org.anvilshed.core.bundle.signAsAuthor

/** Implements [BundleProcedures.submit]. */
internal class SubmitProcedure(
    private val store: BundleStore,
    private val pointer: CurrentBundlePointer,
    private val verifier: BundleVerifier,
) {
    suspend fun run(bytes: BinaryData, author: OperatorCredentials, submissionId: String): SubmitResult {
        val bundle = when (val parsed = parseBundle(bytes.toByteArray().decodeToString())) {
            is BundleParseResult.Valid -> parsed.bundle

            is BundleParseResult.Invalid ->
                return ProcedureFailure.Rejected(BundleRejection.INVALID_DOCUMENT, parsed.faults.joinToString("; "))
        }
        val repaired = pointer.repair()
        if (repaired is PlatformResult.Failure) return procedureFailure(repaired)
        val current = when (val result = pointer.read()) {
            is PlatformResult.Success -> result.value
            is PlatformResult.Failure -> return procedureFailure(result)
        }
        val record = SignedBundle(bytes, author.name, signAsAuthor(bytes, author.privateKey), submissionId)
        return ruleFault(bundle, record, current) ?: create(bundle.version, record)
    }

    private suspend fun ruleFault(bundle: Bundle, record: SignedBundle, current: CurrentState): SubmitResult? {
        val verification = verifier.verifySubmission(record, current.revokedKeys)
        if (verification is SubmissionVerification.Rejected) {
            return ProcedureFailure.Rejected(verification.reason, verification.message)
        }
        val fault = versionFault(bundle, current) ?: return revocationFault(bundle, current)
        // An earlier call with this write id may have stored the bundle, which may have come into force since then.
        val stored = store.readRecord(bundle.version).valueOrNull()?.value
        return if (stored != null && isOwn(record, stored)) submitted(bundle.version, record) else fault
    }

    private suspend fun create(version: Long, record: SignedBundle): SubmitResult {
        var wasUncertain = false
        repeat(MAXIMUM_WRITE_ATTEMPTS) {
            when (val result = store.writeRecord(version, record, expectedVersion = 0)) {
                is PlatformResult.Success -> return submitted(version, record)

                is PlatformResult.VersionConflict -> return existing(version, record, wasUncertain)

                // The write can be repeated: it requires that the object does not exist, and the content is the same.
                is PlatformResult.OutcomeUncertain -> wasUncertain = true

                is PlatformResult.Failure -> return procedureFailure(result, wasUncertain)
            }
        }
        return ProcedureFailure.Uncertain("the answers of the platform were lost $MAXIMUM_WRITE_ATTEMPTS times")
    }

    private suspend fun existing(version: Long, own: SignedBundle, wasUncertain: Boolean): SubmitResult =
        when (val found = store.readRecord(version)) {
            is PlatformResult.Success -> if (isOwn(own, found.value.value)) {
                submitted(version, own)
            } else {
                val stored = found.value.value
                SubmitResult.VersionTaken(version, stored.author, stored.bytes.digest(), stored.submissionId)
            }

            is PlatformResult.Failure -> if (wasUncertain) {
                procedureFailure(found, wasUncertain = true)
            } else {
                val message = "version $version is taken by another submission; its author is not known: "
                ProcedureFailure.Rejected(null, message + describe(found))
            }
        }

    private fun isOwn(own: SignedBundle, found: SignedBundle): Boolean = own == found.copy(signOff = null)

    private fun submitted(version: Long, record: SignedBundle): SubmitResult =
        SubmitResult.Submitted(version, record.bytes.digest(), record.submissionId)
}
