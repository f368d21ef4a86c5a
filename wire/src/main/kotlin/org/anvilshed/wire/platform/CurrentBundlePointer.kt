package org.anvilshed.wire.platform

import org.anvilshed.core.bundle.Bundle
import org.anvilshed.core.bundle.BundleParseResult
import org.anvilshed.core.bundle.BundleVerifier
import org.anvilshed.core.bundle.SignedBundle
import org.anvilshed.core.bundle.VerificationResult
import org.anvilshed.core.bundle.digest
import org.anvilshed.core.bundle.parseBundle

/** Each conflict means that another writer made progress; the limit only ends the loop if the platform is faulty. */
private const val MAXIMUM_ATTEMPTS = 8

/** Reads and raises `bundles/current`, the pointer to the current bundle. */
internal class CurrentBundlePointer(private val store: BundleStore, private val verifier: BundleVerifier) {
    /** A procedure reads the pointer several times; this cache lets it verify an unchanged bundle only once. */
    private var lastRead: Pair<SignedBundle, CurrentState>? = null

    /** Reads the pointer and the bundle that it names. */
    suspend fun read(): PlatformResult<CurrentState> {
        val pointer = when (val result = store.readCurrent()) {
            is PlatformResult.Success -> result.value
            PlatformResult.NotFound -> return PlatformResult.Success(CurrentState(0, 0, null, emptySet()))
            is PlatformResult.Failure -> return result
        }
        val record = when (val result = store.readRecord(pointer.value.version)) {
            is PlatformResult.Success -> result.value.value
            PlatformResult.NotFound, is PlatformResult.Malformed -> null
            is PlatformResult.Failure -> return result
        }
        return PlatformResult.Success(stateOf(pointer, record))
    }

    /**
     * Raises `bundles/current` to [record], the record of bundle [version], unless it names that version or a higher
     * one. The bundle is verified against the bundle that it replaces, so that each bundle in the sequence is valid for
     * every VM that has an earlier bundle in force.
     */
    suspend fun raise(version: Long, record: SignedBundle): RaiseResult {
        repeat(MAXIMUM_ATTEMPTS) {
            val current = when (val result = read()) {
                is PlatformResult.Success -> result.value
                is PlatformResult.Failure -> return RaiseResult.Failed(describe(result))
            }
            if (current.version >= version) return RaiseResult.Done(current.version)
            val fault = successionFault(version, record, current)
            if (fault != null) return RaiseResult.Refused(fault)
            val pointer = CurrentBundle(version, record.bytes.digest())
            when (val result = store.writeCurrent(pointer, current.objectVersion)) {
                is PlatformResult.Success -> return RaiseResult.Done(version)

                // The next read shows whether this or another writer raised the pointer far enough.
                is PlatformResult.VersionConflict, is PlatformResult.OutcomeUncertain -> Unit

                is PlatformResult.Failure -> return RaiseResult.Failed(describe(result))
            }
        }
        return RaiseResult.Failed("bundles/current changed or its update was not confirmed $MAXIMUM_ATTEMPTS times")
    }

    /**
     * Raises `bundles/current` to the highest bundle that is signed off and may follow the current one. Returns the
     * version that the pointer then names, 0 if there is none.
     */
    suspend fun repair(): PlatformResult<Long> {
        val versions = when (val result = store.listVersions()) {
            is PlatformResult.Success -> result.value
            is PlatformResult.Failure -> return result
        }
        val current = when (val result = read()) {
            is PlatformResult.Success -> result.value.version
            is PlatformResult.Failure -> return result
        }
        for (version in versions.filter { it > current }.asReversed()) {
            val raised = raiseStored(version)
            if (raised != null) return raised
        }
        return PlatformResult.Success(current)
    }

    /** Returns `null` if the stored bundle [version] must not follow the current one; lower versions are tried then. */
    private suspend fun raiseStored(version: Long): PlatformResult<Long>? {
        val record = when (val result = store.readRecord(version)) {
            is PlatformResult.Success -> result.value.value
            PlatformResult.NotFound, is PlatformResult.Malformed -> null
            is PlatformResult.Failure -> return result
        }
        if (record?.signOff == null) return null
        return when (val raised = raise(version, record)) {
            is RaiseResult.Done -> PlatformResult.Success(raised.currentVersion)
            is RaiseResult.Failed -> PlatformResult.Unavailable(raised.message)
            is RaiseResult.Refused -> null
        }
    }

    private fun successionFault(
        version: Long,
        record: SignedBundle,
        current: CurrentState,
    ): ProcedureFailure.Rejected? = when (val result = verifier.verify(record, current.revokedKeys)) {
        is VerificationResult.Rejected -> ProcedureFailure.Rejected(result.reason, result.message)

        is VerificationResult.Verified ->
            recordFault(version, result.bundle.bundle) ?: revocationFault(result.bundle.bundle, current)
    }

    private fun stateOf(pointer: Versioned<CurrentBundle>, record: SignedBundle?): CurrentState {
        val named = record?.takeIf { it.bytes.digest() == pointer.value.digest }
        lastRead?.let { (read, state) ->
            if (read == named && state.objectVersion == pointer.objectVersion) return state
        }
        val verified = named?.let { verifier.verify(it) as? VerificationResult.Verified }?.bundle
        val state = CurrentState(
            objectVersion = pointer.objectVersion,
            version = pointer.value.version,
            verified = verified?.takeIf { it.version == pointer.value.version },
            revokedKeys = named?.let { revokedKeysOf(it, verified?.bundle) }.orEmpty(),
        )
        if (named != null) lastRead = named to state
        return state
    }

    private fun revokedKeysOf(record: SignedBundle, verified: Bundle?): Set<String> {
        if (verified != null) return verified.revokedKeys
        val parsed = parseBundle(record.bytes.toByteArray().decodeToString())
        return (parsed as? BundleParseResult.Valid)?.bundle?.revokedKeys.orEmpty()
    }
}
