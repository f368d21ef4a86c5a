package org.anvilshed.wire.platform

import org.anvilshed.core.bundle.SignedBundle
import java.security.MessageDigest
import java.security.Signature

private val ACCEPTED = setOf("asha", "brice", "chedi")

/**
 * Returns whether two different accepted operators have signed [signed]. Implemented from section 9.7 of the design
 * page, independently of the code under test.
 */
fun isSignedByTwo(signed: SignedBundle): Boolean {
    val signOff = signed.signOff ?: return false
    if (signed.author !in ACCEPTED || signOff.operator !in ACCEPTED || signed.author == signOff.operator) return false
    val authored = "anvilshed-bundle-v1\n".toByteArray() + signed.bytes.toByteArray()
    val record = signOff.activation.activatedAt.toString() + "\n" +
        signOff.activation.fractions.joinToString("") { "${it.service} ${it.from} ${it.to} ${it.fraction}\n" }
    val approved = "anvilshed-sign-off-v1\n".toByteArray() +
        MessageDigest.getInstance("SHA-256").digest(signed.bytes.toByteArray()) +
        signed.authorSignature.toByteArray() + record.toByteArray()
    return isValid(signed.author, authored, signed.authorSignature.toByteArray()) &&
        isValid(signOff.operator, approved, signOff.signature.toByteArray())
}

private fun isValid(operator: String, payload: ByteArray, signature: ByteArray): Boolean =
    Signature.getInstance("Ed25519").run {
        initVerify(TestBundles.keys.getValue(operator).public)
        update(payload)
        verify(signature)
    }
