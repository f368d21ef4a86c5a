package org.anvilshed.benchmark

import io.vertx.core.Vertx
import kotlinx.coroutines.runBlocking
import org.anvilshed.core.bundle.BinaryData
import org.anvilshed.core.bundle.BundleVerifier
import org.anvilshed.core.bundle.parsePrivateKeyOrNull
import org.anvilshed.core.bundle.parsePublicKeyOrNull
import org.anvilshed.standins.LocalDeployment
import org.anvilshed.standins.OperatorKeys
import org.anvilshed.wire.platform.BundleProcedures
import org.anvilshed.wire.platform.OperatorCredentials
import org.anvilshed.wire.platform.SignOffResult
import org.anvilshed.wire.platform.SubmitResult
import org.anvilshed.wire.platform.VertxPlatformClient
import java.util.UUID
import kotlin.time.Clock
import kotlin.time.Duration.Companion.seconds

/**
 * Submits and signs off bundles as the operators of [deployment]. The calls run in this process instead of one process
 * each, so that their end can be timed.
 */
public class OperatorActions(deployment: LocalDeployment) : AutoCloseable {
    private val vertx = Vertx.vertx()
    private val client = VertxPlatformClient(vertx, deployment.platformUrl, "operators", 2.seconds)
    private val verifier = BundleVerifier(
        deployment.operators.associate { it.name to checkNotNull(parsePublicKeyOrNull(it.publicKey)) },
        emptySet(),
    )
    private val procedures = BundleProcedures(client, verifier)
    private val author = credentials(deployment.operators[0])
    private val second = credentials(deployment.operators[1])

    /** Submits the bundle document [text] as the first operator. */
    public fun submit(text: String): SubmitResult = runBlocking {
        procedures.submit(BinaryData(text.toByteArray()), author, UUID.randomUUID().toString())
    }

    /** Signs off bundle [version] as the second operator. */
    public fun signOff(version: Long): SignOffResult = runBlocking {
        procedures.signOff(version, null, second, UUID.randomUUID().toString(), Clock.System.now())
    }

    /**
     * Submits the bundle document [text] of [version] and signs it off.
     *
     * @throws IllegalStateException if either fails; the message is the result of the failed call.
     */
    public fun publish(version: Long, text: String) {
        val submitted = submit(text)
        check(submitted is SubmitResult.Submitted) { submitted }
        val signed = signOff(version)
        check(signed is SignOffResult.SignedOff) { signed }
    }

    override fun close() {
        client.close()
        vertx.close().toCompletionStage().toCompletableFuture().join()
    }

    private fun credentials(keys: OperatorKeys) =
        OperatorCredentials(keys.name, checkNotNull(parsePrivateKeyOrNull(keys.privateKey)))
}
