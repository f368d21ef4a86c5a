package org.anvilshed.core.bundle

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf

private fun BundleState.after(signed: SignedBundle): BundleState = offer(signed, TestOperators.verifier).state

private fun BundleState.rejection(signed: SignedBundle): BundleRejection =
    offer(signed, TestOperators.verifier).outcome.shouldBeInstanceOf<BundleOfferOutcome.Rejected>().reason

class BundleStateTest :
    FunSpec({
        val twelve = TestOperators.signed(sampleDocument(version = 12))
        val state = BundleState().after(twelve)

        test("a process without a bundle accepts any valid version") {
            BundleState().version shouldBe 0
            BundleState().offer(twelve, TestOperators.verifier).outcome
                .shouldBeInstanceOf<BundleOfferOutcome.CameIntoForce>().bundle.version shouldBe 12
            state.version shouldBe 12
        }

        test("a stale read of an older version changes nothing") {
            state.rejection(TestOperators.signed(sampleDocument(version = 11))) shouldBe BundleRejection.OLDER_VERSION
            state.after(TestOperators.signed(sampleDocument(version = 11))).version shouldBe 12
            state.after(TestOperators.signed(sampleDocument(version = 13))).version shouldBe 13
        }

        test("another bundle with the version in force is counted, and the first bundle stays in force") {
            val other = TestOperators.signed(sampleDocument(version = 12, comment = "other"))
            val after = state.after(other).after(other)
            after.inForce?.digest shouldBe twelve.bytes.digest()
            after.rejections shouldBe mapOf(BundleRejection.OTHER_DIGEST to 2L)
        }

        test("an offer of the bundle in force is not counted as a rejection") {
            val decision = state.offer(twelve, TestOperators.verifier)
            decision.outcome shouldBe BundleOfferOutcome.AlreadyInForce
            decision.state shouldBe state
        }

        test("a forged or single-signed higher version does not come into force") {
            val higher = TestOperators.signed(sampleDocument(version = 13))
            state.rejection(higher.copy(signOff = null)) shouldBe BundleRejection.NOT_SIGNED_OFF
            state.rejection(higher.copy(bytes = TestOperators.signed(sampleDocument(version = 14)).bytes)) shouldBe
                BundleRejection.FORGED_AUTHOR_SIGNATURE
        }

        test("signatures with a key that the bundle in force revokes are rejected, and others are accepted") {
            val revoking = state.after(TestOperators.signed(sampleDocument(version = 13, revoked = listOf("brice"))))
            revoking.version shouldBe 13
            revoking.rejection(TestOperators.signed(sampleDocument(version = 14))) shouldBe
                BundleRejection.REVOKED_OPERATOR
            revoking.after(TestOperators.signed(sampleDocument(version = 14), second = "chedi")).version shouldBe 14
        }
    })
