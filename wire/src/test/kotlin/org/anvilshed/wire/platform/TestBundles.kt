package org.anvilshed.wire.platform

import org.anvilshed.core.bundle.BinaryData
import org.anvilshed.core.bundle.BundleVerifier
import org.anvilshed.core.bundle.generateOperatorKeyPair
import java.security.KeyPair
import java.security.SecureRandom
import kotlin.time.Instant

/** Operators and documents for the tests of the procedures. */
object TestBundles {
    val time: Instant = Instant.parse("2026-12-04T18:00:00Z")
    val keys: Map<String, KeyPair> = listOf("asha", "brice", "chedi", "dora", "mallory").associateWith {
        generateOperatorKeyPair(SecureRandom())
    }

    /** The key of dora is revoked in the settings, and mallory is not an operator. */
    val verifier: BundleVerifier =
        BundleVerifier((keys - "mallory").mapValues { it.value.public }, revoked = setOf("dora"))

    fun credentials(name: String): OperatorCredentials = OperatorCredentials(name, keys.getValue(name).private)

    fun document(version: Long, comment: String = "", revoked: Collection<String> = emptyList()): BinaryData =
        BinaryData(
            """
            format = 1
            version = $version
            comment = "$comment"
            revoked_keys = [${revoked.joinToString { "\"$it\"" }}]
            [[regions]]
            name = "nbo"
            requests_per_second = 2000
            [[zones]]
            name = "nbo-a"
            region = "nbo"
            """.trimIndent().toByteArray(),
        )
}
