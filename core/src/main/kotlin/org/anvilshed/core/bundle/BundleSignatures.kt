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

/** Returns the Ed25519 public key whose X.509 form is written in base64 in [text], or `null` for any other text. */
public fun parsePublicKeyOrNull(text: String): PublicKey? = parseBinaryDataOrNull(text)?.let { data ->
    try {
        KeyFactory.getInstance(ALGORITHM).generatePublic(X509EncodedKeySpec(data.toByteArray()))
    } catch (_: GeneralSecurityException) {
        null
    }
}

/** Returns the Ed25519 private key whose PKCS #8 form is written in base64 in [text], or `null` for any other text. */
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
 * Returns the prefix, the digest of the bundle, the author's signature and the canonical text of the activation record.
 *
 * The signature covers the activation record because this record sets the fractions at which moves start: write access
 * to the platform alone must not be enough to skip a ramp.
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
    // The provider throws this exception for a signature of the wrong length.
    false
}

/**
 * Returns one line for the time and one line for each fraction. Names contain no space, so that different records have
 * different texts.
 */
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
