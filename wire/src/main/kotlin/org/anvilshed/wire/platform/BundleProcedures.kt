package org.anvilshed.wire.platform

import org.anvilshed.core.bundle.BinaryData
import org.anvilshed.core.bundle.BundleDigest
import org.anvilshed.core.bundle.BundleVerifier
import kotlin.time.Instant

/** Each attempt after the first follows a lost answer or a conflict; more lost answers indicate an outage. */
internal const val MAXIMUM_WRITE_ATTEMPTS: Int = 3

/**
 * Procedures that bring a bundle into force: [submit] by the author, then [signOff] by another operator.
 *
 * Concurrent calls by several operators are safe. A write whose answer was lost is read back and recognized by the
 * write id of the call. Each call first repairs `bundles/current` if an earlier sign-off ended before it raised this
 * pointer.
 */
public class BundleProcedures(client: PlatformClient, verifier: BundleVerifier) {
    private val store = BundleStore(client)
    private val pointer = CurrentBundlePointer(store, verifier)
    private val submit = SubmitProcedure(store, pointer, verifier)
    private val signOff = SignOffProcedure(store, pointer, verifier)

    /**
     * Submits the document [bytes] signed by [author]. [submissionId] must be a new write id, except that after an
     * uncertain result the call may be repeated with the same document and the same [submissionId].
     */
    public suspend fun submit(bytes: BinaryData, author: OperatorCredentials, submissionId: String): SubmitResult =
        submit.run(bytes, author, submissionId)

    /**
     * Signs the submitted bundle [version] off as [operator] and raises `bundles/current` to it.
     *
     * @param expectedDigest digest that the operator has examined, or `null` to sign any stored document.
     * @param signOffId new random write id.
     */
    public suspend fun signOff(
        version: Long,
        expectedDigest: BundleDigest?,
        operator: OperatorCredentials,
        signOffId: String,
        now: Instant,
    ): SignOffResult = signOff.run(version, expectedDigest, operator, signOffId, now)

    /**
     * Raises `bundles/current` to the highest bundle that is signed off and may follow the current one, and returns
     * the version that the pointer then names (0 if there is none). Usually the pointer already names that bundle, and
     * nothing is written.
     */
    public suspend fun repairCurrent(): PlatformResult<Long> = pointer.repair()
}
