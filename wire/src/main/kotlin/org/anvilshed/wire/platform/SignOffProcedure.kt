package org.anvilshed.wire.platform

import org.anvilshed.core.bundle.BundleDigest
import org.anvilshed.core.bundle.BundleRejection
import org.anvilshed.core.bundle.BundleVerifier
import org.anvilshed.core.bundle.SignOff
import org.anvilshed.core.bundle.SignedBundle
import org.anvilshed.core.bundle.SubmissionVerification
import org.anvilshed.core.bundle.VerificationResult
import org.anvilshed.core.bundle.activationAfter
import org.anvilshed.core.bundle.digest
import org.anvilshed.core.bundle.signAsSecondOperator
import kotlin.time.Instant

/** Implements [BundleProcedures.signOff]. */
internal class SignOffProcedure(
    private val store: BundleStore,
    private val pointer: CurrentBundlePointer,
    private val verifier: BundleVerifier,
) {
    suspend fun run(
        version: Long,
        expectedDigest: BundleDigest?,
        operator: OperatorCredentials,
        signOffId: String,
        now: Instant,
    ): SignOffResult {
        val repaired = pointer.repair()
        if (repaired is PlatformResult.Failure) return procedureFailure(repaired)
        val attempts = Attempts(version, expectedDigest, operator, signOffId, now)
        repeat(MAXIMUM_WRITE_ATTEMPTS) {
            val result = attempts.next()
            if (result != null) return result
        }
        return ProcedureFailure.Uncertain(
            "the record of version $version changed or its update was not confirmed $MAXIMUM_WRITE_ATTEMPTS times",
        )
    }

    private inner class Attempts(
        private val version: Long,
        private val expectedDigest: BundleDigest?,
        private val operator: OperatorCredentials,
        private val signOffId: String,
        private val now: Instant,
    ) {
        private var wasUncertain = false

        /** Reads the record and signs it; returns `null` if another attempt is needed. */
        suspend fun next(): SignOffResult? {
            val found = when (val result = store.readRecord(version)) {
                is PlatformResult.Success -> result.value
                is PlatformResult.Failure -> return readFailure(version, result, wasUncertain)
            }
            if (found.value.signOff != null) return completed(version, found.value, signOffId)
            val signed = when (val step = prepare(version, expectedDigest, found.value, operator, signOffId, now)) {
                is Step.Stop -> return stopped(step.result)
                is Step.Write -> step.record
            }
            return when (val result = store.writeRecord(version, signed, found.objectVersion)) {
                is PlatformResult.Success -> completed(version, signed, signOffId)

                is PlatformResult.VersionConflict -> null

                is PlatformResult.OutcomeUncertain -> {
                    wasUncertain = true
                    null
                }

                is PlatformResult.Failure -> procedureFailure(result, wasUncertain)
            }
        }

        /** After a lost answer, a fault does not show that the write had no effect: the write may have caused it. */
        private fun stopped(result: ProcedureFailure): SignOffResult =
            if (wasUncertain) ProcedureFailure.Uncertain(result.message) else result
    }

    private fun readFailure(version: Long, failure: PlatformResult.Failure, wasUncertain: Boolean): SignOffResult =
        if (failure == PlatformResult.NotFound && !wasUncertain) {
            ProcedureFailure.Rejected(null, "no bundle of version $version is submitted")
        } else {
            procedureFailure(failure, wasUncertain)
        }

    private suspend fun prepare(
        version: Long,
        expectedDigest: BundleDigest?,
        record: SignedBundle,
        operator: OperatorCredentials,
        signOffId: String,
        now: Instant,
    ): Step {
        val current = when (val result = pointer.read()) {
            is PlatformResult.Success -> result.value
            is PlatformResult.Failure -> return Step.Stop(procedureFailure(result))
        }
        val fault = digestFault(expectedDigest, record) ?: submissionFault(version, record, current)
        if (fault != null) return Step.Stop(fault)
        val activation = activationAfter(current.verified, now)
        val signature = signAsSecondOperator(record, activation, operator.privateKey)
        val signed = record.copy(signOff = SignOff(operator.name, signature, signOffId, activation))
        return when (val result = verifier.verify(signed, current.revokedKeys)) {
            is VerificationResult.Verified -> Step.Write(signed)
            is VerificationResult.Rejected -> Step.Stop(ProcedureFailure.Rejected(result.reason, result.message))
        }
    }

    private fun digestFault(expected: BundleDigest?, record: SignedBundle): ProcedureFailure.Rejected? {
        val digest = record.bytes.digest()
        if (expected == null || expected == digest) return null
        val message = "the submitted bundle has digest $digest, not $expected"
        return ProcedureFailure.Rejected(BundleRejection.OTHER_DIGEST, message)
    }

    private fun submissionFault(
        version: Long,
        record: SignedBundle,
        current: CurrentState,
    ): ProcedureFailure.Rejected? = when (val result = verifier.verifySubmission(record, current.revokedKeys)) {
        is SubmissionVerification.Rejected -> ProcedureFailure.Rejected(result.reason, result.message)

        is SubmissionVerification.Verified ->
            recordFault(version, result.bundle)
                ?: versionFault(result.bundle, current)
                ?: revocationFault(result.bundle, current)
    }

    private suspend fun completed(version: Long, record: SignedBundle, ownSignOffId: String): SignOffResult {
        val signOff = checkNotNull(record.signOff) { "only signed-off records are completed" }
        val isOwn = signOff.signOffId == ownSignOffId
        val raised = when (val result = pointer.raise(version, record)) {
            is RaiseResult.Done -> result.currentVersion

            is RaiseResult.Refused ->
                return if (isOwn) SignOffResult.Refused(version, result.failure.message) else result.failure

            is RaiseResult.Failed -> return ProcedureFailure.Uncertain(
                "version $version is signed off, but bundles/current may not name it yet: ${result.message}; " +
                    "the next anvilctl bundle command that reaches the platform repairs it",
            )
        }
        val digest = record.bytes.digest()
        return when {
            !isOwn -> SignOffResult.AlreadySignedOff(version, digest, signOff.operator)
            raised > version -> SignOffResult.Superseded(version, raised)
            else -> SignOffResult.SignedOff(version, digest)
        }
    }

    private sealed interface Step {
        class Stop(val result: ProcedureFailure) : Step

        class Write(val record: SignedBundle) : Step
    }
}
