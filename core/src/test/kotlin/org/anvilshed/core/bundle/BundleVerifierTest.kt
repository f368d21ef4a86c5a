package org.anvilshed.core.bundle

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlin.time.Duration.Companion.seconds

private fun rejection(signed: SignedBundle, revoked: Set<String> = emptySet()): BundleRejection =
    TestOperators.verifier.verify(signed, revoked).shouldBeInstanceOf<VerificationResult.Rejected>().reason

class BundleVerifierTest :
    FunSpec({
        val signed = TestOperators.signed(sampleDocument())
        val signOff = checkNotNull(signed.signOff)

        test("two valid signatures of different operators are accepted") {
            val verified = TestOperators.verifier.verify(
                signed,
            ).shouldBeInstanceOf<VerificationResult.Verified>().bundle
            verified.version shouldBe 12
            verified.digest shouldBe signed.bytes.digest()
        }

        test("a bundle without a second signature is rejected") {
            rejection(signed.copy(signOff = null)) shouldBe BundleRejection.NOT_SIGNED_OFF
        }

        test("one operator cannot sign twice, not even under two names") {
            val twice = TestOperators.signed(sampleDocument(), author = "asha", second = "asha")
            rejection(twice) shouldBe BundleRejection.SAME_OPERATOR
            val alias =
                BundleVerifier(
                    TestOperators.publicKeys + ("brice" to TestOperators.publicKeys.getValue("asha")),
                    setOf(),
                )
            val renamed = twice.copy(signOff = twice.signOff?.copy(operator = "brice"))
            alias.verify(renamed).shouldBeInstanceOf<VerificationResult.Rejected>().reason shouldBe
                BundleRejection.SAME_OPERATOR
        }

        test("a changed byte, author or signature is rejected as forged") {
            val bytes = BinaryData(sampleDocument(fraction = 0.3).toByteArray())
            rejection(signed.copy(bytes = bytes)) shouldBe BundleRejection.FORGED_AUTHOR_SIGNATURE
            rejection(signed.copy(author = "chedi")) shouldBe BundleRejection.FORGED_AUTHOR_SIGNATURE
            val short = BinaryData(ByteArray(3))
            rejection(signed.copy(authorSignature = short)) shouldBe BundleRejection.FORGED_AUTHOR_SIGNATURE
            rejection(signed.copy(signOff = signOff.copy(operator = "chedi"))) shouldBe BundleRejection.FORGED_SIGN_OFF
            rejection(signed.copy(signOff = signOff.copy(signature = short))) shouldBe BundleRejection.FORGED_SIGN_OFF
        }

        test("a sign-off copied to another bundle of the same author is rejected") {
            val other = TestOperators.submission(sampleDocument(version = 13))
            rejection(other.copy(signOff = signOff)) shouldBe BundleRejection.FORGED_SIGN_OFF
        }

        test("an author's signature is not accepted as a sign-off") {
            val authored = signAsAuthor(signed.bytes, TestOperators.keys.getValue("brice").private)
            rejection(signed.copy(signOff = signOff.copy(signature = authored))) shouldBe
                BundleRejection.FORGED_SIGN_OFF
        }

        test("a changed activation record is rejected, so that nobody can skip a ramp") {
            val earlier = signOff.activation.copy(activatedAt = TEST_TIME - 1000.seconds)
            rejection(signed.copy(signOff = signOff.copy(activation = earlier))) shouldBe
                BundleRejection.FORGED_SIGN_OFF
        }

        test("unknown and revoked operators are rejected as author and as second operator") {
            rejection(signed.copy(author = "nobody")) shouldBe BundleRejection.UNKNOWN_OPERATOR
            rejection(signed.copy(signOff = signOff.copy(operator = "nobody"))) shouldBe
                BundleRejection.UNKNOWN_OPERATOR
            for (operator in listOf("asha", "brice")) {
                rejection(signed, revoked = setOf(operator)) shouldBe BundleRejection.REVOKED_OPERATOR
                BundleVerifier(TestOperators.publicKeys, setOf(operator)).verify(signed)
                    .shouldBeInstanceOf<VerificationResult.Rejected>().reason shouldBe BundleRejection.REVOKED_OPERATOR
            }
        }

        test("a signed document is rejected if it has a fault or is above the size limit") {
            rejection(TestOperators.signed("format = 2")) shouldBe BundleRejection.INVALID_DOCUMENT
            rejection(TestOperators.signed("#".repeat(MAXIMUM_BUNDLE_BYTES + 1))) shouldBe BundleRejection.TOO_LARGE
        }

        test("keys are read back from their text form, and other texts are rejected") {
            val keys = TestOperators.keys.getValue("asha")
            parsePublicKeyOrNull(BinaryData(keys.public.encoded).toBase64()) shouldBe keys.public
            parsePrivateKeyOrNull(BinaryData(keys.private.encoded).toBase64()).shouldNotBeNull()
            for (text in listOf("", "%%%", "AAAA", BinaryData(keys.private.encoded).toBase64())) {
                parsePublicKeyOrNull(text).shouldBeNull()
            }
            parsePrivateKeyOrNull(BinaryData(keys.public.encoded).toBase64()).shouldBeNull()
        }
    })
