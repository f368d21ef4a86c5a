package org.anvilshed.daemon.testbed

import kotlinx.serialization.json.Json
import org.anvilshed.core.bundle.ActivationRecord
import org.anvilshed.core.bundle.BinaryData
import org.anvilshed.core.bundle.SignOff
import org.anvilshed.core.bundle.SignedBundle
import org.anvilshed.core.bundle.digest
import org.anvilshed.core.bundle.generateOperatorKeyPair
import org.anvilshed.core.bundle.signAsAuthor
import org.anvilshed.core.bundle.signAsSecondOperator
import org.anvilshed.wire.platform.CurrentBundle
import org.anvilshed.wire.platform.bundleKey
import java.security.KeyPair
import java.security.SecureRandom
import java.util.Base64
import kotlin.time.Clock

/** Signs bundles with the keys of two operators. */
internal class SignedBundles {
    private val author: KeyPair = generateOperatorKeyPair(SecureRandom())
    private val second: KeyPair = generateOperatorKeyPair(SecureRandom())

    /** The `[[operators]]` tables of the settings. */
    val operatorSettings: String = listOf("amina" to author, "baraka" to second).joinToString("\n") { (name, key) ->
        "[[operators]]\nname = \"$name\"\npublic_key = \"${Base64.getEncoder().encodeToString(key.public.encoded)}\"\n"
    }

    /** Returns the bundle [document] as submitted by one operator and signed off by the other. */
    fun sign(document: String): SignedBundle {
        val bytes = BinaryData(document.toByteArray())
        val submission = SignedBundle(bytes, "amina", signAsAuthor(bytes, author.private), "submission")
        val activation = ActivationRecord(Clock.System.now(), emptyList())
        val signature = signAsSecondOperator(submission, activation, second.private)
        return submission.copy(signOff = SignOff("baraka", signature, "sign-off", activation))
    }

    /** Signs [document] and stores it as the current bundle with [version]. */
    fun publish(platform: FakePlatform, version: Long, document: String) {
        val signed = sign(document)
        platform.put(bundleKey(version), Json.encodeToString(SignedBundle.serializer(), signed).toByteArray())
        val current = CurrentBundle(version, signed.bytes.digest())
        platform.put("bundles/current", Json.encodeToString(CurrentBundle.serializer(), current).toByteArray())
    }
}
