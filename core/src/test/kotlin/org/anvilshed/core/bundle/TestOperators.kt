package org.anvilshed.core.bundle

import java.security.KeyPair
import java.security.PublicKey
import java.security.SecureRandom
import kotlin.time.Instant

val TEST_TIME: Instant = Instant.parse("2026-12-04T18:00:00Z")

/** Operators with keys that are generated once per test process. */
object TestOperators {
    val keys: Map<String, KeyPair> = listOf("asha", "brice", "chedi").associateWith {
        generateOperatorKeyPair(SecureRandom())
    }
    val publicKeys: Map<String, PublicKey> = keys.mapValues { it.value.public }
    val verifier: BundleVerifier = BundleVerifier(publicKeys, revoked = emptySet())

    fun submission(document: String, author: String = "asha"): SignedBundle {
        val bytes = BinaryData(document.toByteArray())
        return SignedBundle(bytes, author, signAsAuthor(bytes, keys.getValue(author).private), submissionId = "s-1")
    }

    fun signed(
        document: String,
        author: String = "asha",
        second: String = "brice",
        activation: ActivationRecord = ActivationRecord(TEST_TIME, emptyList()),
    ): SignedBundle = signOff(submission(document, author), second, activation)

    fun signOff(
        submission: SignedBundle,
        second: String,
        activation: ActivationRecord = ActivationRecord(TEST_TIME, emptyList()),
    ): SignedBundle {
        val signature = signAsSecondOperator(submission, activation, keys.getValue(second).private)
        return submission.copy(signOff = SignOff(second, signature, signOffId = "o-1", activation = activation))
    }
}
