package org.anvilshed.core.bundle

import java.security.GeneralSecurityException
import java.security.KeyFactory
import java.security.KeyPair
import java.security.KeyPairGenerator
import java.security.PrivateKey
import java.security.PublicKey
import java.security.SecureRandom
import java.security.Signature
import java.security.spec.PKCS8EncodedKeySpec
import java.security.spec.X509EncodedKeySpec

private const val ALGORITHM = "Ed25519"
private const val AUTHOR_PREFIX = "anvilshed-bundle-v1\n"
private const val SIGN_OFF_PREFIX = "anvilshed-sign-off-v1\n"

/** Generates the Ed25519 key pair of an operator from [random]. */
public fun generateOperatorKeyPair(random: SecureRandom): KeyPair {
    val generator = KeyPairGenerator.getInstance(ALGORITHM)
    generator.initialize(255, random)
    return generator.generateKeyPair()
}

/** Returns the Ed25519 public key in the base64 text of its X.509 form, or `null` if [text] is something else. */
public fun parsePublicKeyOrNull(text: String): PublicKey? = parseBinaryDataOrNull(text)?.let { data ->
    try {
        KeyFactory.getInstance(ALGORITHM).generatePublic(X509EncodedKeySpec(data.toByteArray()))
    } catch (_: GeneralSecurityException) {
        null
    }
}

/** Returns the Ed25519 private key in the base64 text of its PKCS #8 form, or `null` if [text] is something else. */
public fun parsePrivateKeyOrNull(text: String): PrivateKey? = parseBinaryDataOrNull(text)?.let { data ->
    try {
        KeyFactory.getInstance(ALGORITHM).generatePrivate(PKCS8EncodedKeySpec(data.toByteArray()))
    } catch (_: GeneralSecurityException) {
        null
    }
}

/** Signs the exact [bytes] of a bundle as its author. */
public fun signAsAuthor(bytes: BinaryData, key: PrivateKey): BinaryData = sign(authorPayload(bytes), key)

/** Signs [submission] and its [activation] as the second operator. */
public fun signAsSecondOperator(submission: SignedBundle, activation: ActivationRecord, key: PrivateKey): BinaryData =
    sign(signOffPayload(submission, activation), key)

internal fun authorPayload(bytes: BinaryData): ByteArray = AUTHOR_PREFIX.toByteArray() + bytes.toByteArray()

/**
 * Prefix, digest of the bundle, author's signature and canonical text of the activation record. The record is
 * covered because it decides how far a move may start, so that write access to the platform is not enough to skip
 * a ramp.
 */
internal fun signOffPayload(submission: SignedBundle, activation: ActivationRecord): ByteArray =
    SIGN_OFF_PREFIX.toByteArray() +
        submission.bytes.sha256() +
        submission.authorSignature.toByteArray() +
        canonicalText(activation).toByteArray()

internal fun isSignatureValid(payload: ByteArray, signature: BinaryData, key: PublicKey): Boolean = try {
    Signature.getInstance(ALGORITHM).run {
        initVerify(key)
        update(payload)
        verify(signature.toByteArray())
    }
} catch (_: GeneralSecurityException) {
    // A signature of a wrong length is reported by an exception.
    false
}

/** One line for the time and one for each fraction; names contain no space, so that no two records share a text. */
private fun canonicalText(activation: ActivationRecord): String = buildString {
    append(activation.activatedAt).append('\n')
    for (move in activation.fractions) {
        append(move.service).append(' ').append(move.from).append(' ').append(move.to)
        append(' ').append(move.fraction).append('\n')
    }
}

private fun sign(payload: ByteArray, key: PrivateKey): BinaryData = Signature.getInstance(ALGORITHM).run {
    initSign(key)
    update(payload)
    BinaryData(sign())
}
