package org.anvilshed.wire.platform

import org.anvilshed.core.bundle.BinaryData
import org.anvilshed.core.bundle.BundleDigest
import org.anvilshed.core.bundle.BundleVerifier
import kotlin.time.Instant

/** Each attempt after the first one follows a lost answer; more of them than this mean an outage. */
internal const val MAXIMUM_WRITE_ATTEMPTS: Int = 3

/**
 * Steps that bring a bundle into force: [submit] by the author, then [signOff] by another operator.
 *
 * Concurrent calls by several operators are safe. A write whose answer was lost is read back and recognized by the
 * write id of the call. Each call first repairs `bundles/current` if an earlier sign-off ended before it raised it.
 */
public class BundleProcedures(client: PlatformClient, verifier: BundleVerifier) {
    private val store = BundleStore(client)
    private val pointer = CurrentBundlePointer(store, verifier)
    private val submit = SubmitProcedure(store, pointer, verifier)
    private val signOff = SignOffProcedure(store, pointer, verifier)

    /**
     * Submits the document [bytes] signed by [author]. The same [submissionId] may be used for another call with the
     * same document after an uncertain result; it must otherwise be new.
     */
    public suspend fun submit(bytes: BinaryData, author: OperatorCredentials, submissionId: String): SubmitResult =
        submit.run(bytes, author, submissionId)

    /**
     * Signs the submitted bundle [version] off as [operator] and raises `bundles/current` to it.
     *
     * @param expectedDigest digest that the operator has examined, or `null` to sign whatever is stored.
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
     * the version that it names then (0 if there is none). It usually names that bundle already, and nothing is
     * written.
     */
    public suspend fun repairCurrent(): PlatformResult<Long> = pointer.repair()
}
