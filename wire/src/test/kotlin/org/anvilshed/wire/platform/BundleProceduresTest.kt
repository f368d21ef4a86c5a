package org.anvilshed.wire.platform

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.types.shouldBeInstanceOf
import org.anvilshed.core.bundle.BundleDigest
import org.anvilshed.core.bundle.BundleRejection
import org.anvilshed.core.bundle.BundleVerifier
import org.anvilshed.core.bundle.digest
import org.anvilshed.wire.platform.TestBundles.credentials
import org.anvilshed.wire.platform.TestBundles.document

/** Returns the next outcome for each call whose text starts with [prefix] and delivers all other calls. */
private class ScriptedGate(private val prefix: String, vararg outcomes: CallOutcome) : CallGate {
    private val remaining = outcomes.toMutableList()

    override suspend fun pass(call: String): CallOutcome =
        if (call.startsWith(prefix)) remaining.removeFirstOrNull() ?: CallOutcome.DELIVER else CallOutcome.DELIVER
}

private class Fixture {
    val platform = FakePlatform()

    fun procedures(gate: CallGate = CallGate { CallOutcome.DELIVER }) =
        BundleProcedures(platform.client(gate), TestBundles.verifier)

    suspend fun submit(
        version: Long,
        author: String = "asha",
        id: String = "s-$author-$version",
        gate: CallGate = CallGate { CallOutcome.DELIVER },
        revoked: List<String> = emptyList(),
    ): SubmitResult = procedures(gate).submit(document(version, author, revoked), credentials(author), id)

    suspend fun signOff(
        version: Long,
        operator: String = "brice",
        id: String = "o-$operator-$version",
        gate: CallGate = CallGate { CallOutcome.DELIVER },
        digest: BundleDigest? = null,
    ): SignOffResult = procedures(gate).signOff(version, digest, credentials(operator), id, TestBundles.time)

    suspend fun current(): Long = BundleStore(platform.client()).readCurrent().valueOrNull()?.value?.version ?: 0

    suspend fun release(version: Long) {
        submit(version).shouldBeInstanceOf<SubmitResult.Submitted>()
        signOff(version).shouldBeInstanceOf<SignOffResult.SignedOff>()
    }
}

private fun SubmitResult.rejection(): BundleRejection? = shouldBeInstanceOf<ProcedureFailure.Rejected>().reason

private fun SignOffResult.rejection(): BundleRejection? = shouldBeInstanceOf<ProcedureFailure.Rejected>().reason

class BundleProceduresTest :
    FunSpec({
        test("a submitted bundle comes into force with its sign-off and not earlier") {
            val fixture = Fixture()
            fixture.submit(1).shouldBeInstanceOf<SubmitResult.Submitted>()
            fixture.current() shouldBe 0
            fixture.signOff(1).shouldBeInstanceOf<SignOffResult.SignedOff>()
            fixture.current() shouldBe 1
        }

        test("a submission with a version that is taken reports the author of the earlier submission") {
            val fixture = Fixture()
            fixture.submit(1, "asha")
            fixture.submit(1, "brice").shouldBeInstanceOf<SubmitResult.VersionTaken>().existingAuthor shouldBe "asha"
            fixture.submit(1, "asha", id = "another").shouldBeInstanceOf<SubmitResult.VersionTaken>()
        }

        test("a submission whose answer was lost is recognized by its own write id") {
            for (outcomes in listOf(
                listOf(CallOutcome.LOSE_ANSWER),
                listOf(CallOutcome.LOSE_REQUEST, CallOutcome.LOSE_ANSWER),
            )) {
                val fixture = Fixture()
                val gate = ScriptedGate("put", *outcomes.toTypedArray())
                fixture.submit(1, gate = gate).shouldBeInstanceOf<SubmitResult.Submitted>()
            }
        }

        test("a submission whose request was lost does not mistake another operator's record for its own") {
            val fixture = Fixture()
            val other = Fixture()
            other.submit(1, "brice")
            val record = other.platform.bodies(bundleKey(1)).single()
            val gate = CallGate { call ->
                if (call.startsWith("put")) {
                    if (fixture.platform.keys().isEmpty()) fixture.platform.store(bundleKey(1), record)
                    CallOutcome.LOSE_REQUEST
                } else {
                    CallOutcome.DELIVER
                }
            }
            fixture.submit(1, gate = gate).shouldBeInstanceOf<ProcedureFailure.Uncertain>()
            fixture.submit(1).shouldBeInstanceOf<SubmitResult.VersionTaken>().existingAuthor shouldBe "brice"
        }

        test("an uncertain submission can be repeated with its id, even after the bundle came into force") {
            val fixture = Fixture()
            val gate = ScriptedGate("put", CallOutcome.LOSE_REQUEST, CallOutcome.LOSE_REQUEST, CallOutcome.LOSE_ANSWER)
            fixture.submit(1, gate = gate).shouldBeInstanceOf<ProcedureFailure.Uncertain>()
            fixture.submit(1).shouldBeInstanceOf<SubmitResult.Submitted>()
            fixture.signOff(1)
            fixture.submit(1).shouldBeInstanceOf<SubmitResult.Submitted>()
            fixture.submit(1, id = "new").rejection() shouldBe BundleRejection.OLDER_VERSION
        }

        test("an outage is reported as uncertain only if an answer was lost before") {
            val outage = ScriptedGate("put", CallOutcome.OUTAGE)
            Fixture().submit(1, gate = outage).shouldBeInstanceOf<ProcedureFailure.Unreachable>()
            val both = ScriptedGate("put", CallOutcome.LOSE_REQUEST, CallOutcome.OUTAGE)
            Fixture().submit(1, gate = both).shouldBeInstanceOf<ProcedureFailure.Uncertain>()
        }

        test("the author, an unknown operator and a revoked operator cannot sign off") {
            val fixture = Fixture()
            fixture.submit(1)
            fixture.signOff(1, "asha").rejection() shouldBe BundleRejection.SAME_OPERATOR
            fixture.signOff(1, "dora").rejection() shouldBe BundleRejection.REVOKED_OPERATOR
            fixture.signOff(1, "mallory").rejection() shouldBe BundleRejection.UNKNOWN_OPERATOR
            fixture.submit(2, "dora").rejection() shouldBe BundleRejection.REVOKED_OPERATOR
            fixture.current() shouldBe 0
        }

        test("a wrong private key is rejected before anything is written") {
            val fixture = Fixture()
            val author = OperatorCredentials("asha", TestBundles.keys.getValue("mallory").private)
            fixture.procedures().submit(document(1), author, "s").rejection() shouldBe
                BundleRejection.FORGED_AUTHOR_SIGNATURE
            fixture.submit(1)
            val second = OperatorCredentials("brice", TestBundles.keys.getValue("mallory").private)
            fixture.procedures().signOff(1, null, second, "o", TestBundles.time).rejection() shouldBe
                BundleRejection.FORGED_SIGN_OFF
            fixture.platform.bodies(bundleKey(1)).size shouldBe 1
        }

        test("a sign-off is rejected for any other digest than the one that the operator examined") {
            val fixture = Fixture()
            fixture.submit(1)
            fixture.signOff(1, digest = BundleDigest("other")).rejection() shouldBe BundleRejection.OTHER_DIGEST
            fixture.signOff(1, digest = document(1, "asha").digest()).shouldBeInstanceOf<SignOffResult.SignedOff>()
        }

        test("a sign-off whose answer was lost is recognized by its own write id") {
            val fixture = Fixture()
            fixture.submit(1)
            fixture.signOff(1, gate = ScriptedGate("put bundles/0", CallOutcome.LOSE_ANSWER))
                .shouldBeInstanceOf<SignOffResult.SignedOff>()
            fixture.signOff(1, "chedi").shouldBeInstanceOf<SignOffResult.AlreadySignedOff>().operator shouldBe "brice"
        }

        test("a sign-off is confirmed although answers to the updates of bundles/current were lost") {
            val fixture = Fixture()
            fixture.submit(1)
            val gate = ScriptedGate("put bundles/current", CallOutcome.LOSE_ANSWER, CallOutcome.LOSE_REQUEST)
            fixture.signOff(1, gate = gate).shouldBeInstanceOf<SignOffResult.SignedOff>()
            fixture.current() shouldBe 1
        }

        test("any later call repairs bundles/current after a crash between the sign-off and its update") {
            val laterCalls = mapOf<String, suspend (Fixture) -> Unit>(
                "submit" to { it.submit(2) },
                "sign-off of another bundle" to { it.signOff(9) },
                "sign-off of the same bundle" to { it.signOff(1, "chedi") },
                "status" to { it.procedures().repairCurrent() },
            )
            for ((_, call) in laterCalls) {
                val fixture = Fixture()
                fixture.submit(1)
                val crash = CallGate { if (it == "put bundles/current") CallOutcome.OUTAGE else CallOutcome.DELIVER }
                val message = fixture.signOff(1, gate = crash).shouldBeInstanceOf<ProcedureFailure.Uncertain>().message
                message shouldContain "is signed off"
                fixture.current() shouldBe 0
                call(fixture)
                fixture.current() shouldBe 1
            }
        }

        test("bundles/current never decreases: a late sign-off is superseded, and a lower version is rejected") {
            val fixture = Fixture()
            fixture.submit(1)
            fixture.submit(2)
            var overtaken = false
            val gate = CallGate { call ->
                if (call == "put bundles/current" && !overtaken) {
                    overtaken = true
                    fixture.signOff(2, "chedi")
                }
                CallOutcome.DELIVER
            }
            fixture.signOff(1, gate = gate).shouldBeInstanceOf<SignOffResult.Superseded>().currentVersion shouldBe 2
            fixture.current() shouldBe 2
            fixture.submit(1, id = "late").rejection() shouldBe BundleRejection.OLDER_VERSION
        }

        test("a sign-off that took effect is not reported as rejected after a lost answer and a stale read") {
            val fixture = Fixture()
            fixture.submit(1)
            var puts = 0
            val gate = CallGate { call ->
                when {
                    call == "put bundles/00000001" && puts++ == 0 -> CallOutcome.LOSE_ANSWER

                    call == "get bundles/00000001" && puts == 1 -> {
                        fixture.procedures().repairCurrent()
                        CallOutcome.STALE
                    }

                    else -> CallOutcome.DELIVER
                }
            }
            fixture.signOff(1, gate = gate).shouldBeInstanceOf<ProcedureFailure.Uncertain>()
            fixture.current() shouldBe 1
        }

        test("a key revoked by the current bundle cannot sign the next bundle, which must keep the revocation") {
            val fixture = Fixture()
            fixture.submit(1, revoked = listOf("brice"))
            fixture.signOff(1, "chedi")
            fixture.submit(2, "brice").rejection() shouldBe BundleRejection.REVOKED_OPERATOR
            fixture.submit(2).rejection() shouldBe BundleRejection.INVALID_DOCUMENT
            fixture.submit(2, revoked = listOf("brice"))
            fixture.signOff(2, "brice").rejection() shouldBe BundleRejection.REVOKED_OPERATOR
            fixture.signOff(2, "chedi").shouldBeInstanceOf<SignOffResult.SignedOff>()
        }

        test("a bundle signed off with a key that was revoked meanwhile does not become current, and others do") {
            val fixture = Fixture()
            fixture.submit(1, revoked = listOf("brice"))
            fixture.submit(2)
            fixture.submit(3, revoked = listOf("brice"))
            val crash = CallGate { if (it == "put bundles/current") CallOutcome.OUTAGE else CallOutcome.DELIVER }
            fixture.signOff(2, "brice", gate = crash)
            val storedTwo = fixture.platform.bodies(bundleKey(2)).last()
            val other = Fixture()
            other.submit(1, revoked = listOf("brice"))
            other.signOff(1, "chedi")
            other.platform.store(bundleKey(2), storedTwo)
            other.procedures().repairCurrent().valueOrNull() shouldBe 1
            other.submit(3, revoked = listOf("brice"))
            other.signOff(3, "chedi").shouldBeInstanceOf<SignOffResult.SignedOff>()
        }

        test("a sign-off whose key is revoked between its write and the update of bundles/current is refused") {
            val fixture = Fixture()
            fixture.submit(1, revoked = listOf("brice"))
            fixture.submit(2, id = "two")
            var isOvertaken = false
            val gate = CallGate { call ->
                if (call == "put bundles/00000002" && !isOvertaken) {
                    isOvertaken = true
                    fixture.signOff(1, "chedi")
                }
                CallOutcome.DELIVER
            }
            fixture.signOff(2, "brice", gate = gate).shouldBeInstanceOf<SignOffResult.Refused>()
            fixture.current() shouldBe 1
        }

        test("a current bundle can still be replaced after the key of a signer was revoked in the settings") {
            val fixture = Fixture()
            fixture.release(1)
            val strict = BundleProcedures(
                fixture.platform.client(),
                BundleVerifier(TestBundles.keys.mapValues { it.value.public }, setOf("brice")),
            )
            strict.submit(document(2), credentials("asha"), "s").shouldBeInstanceOf<SubmitResult.Submitted>()
            strict.signOff(2, null, credentials("chedi"), "o", TestBundles.time)
                .shouldBeInstanceOf<SignOffResult.SignedOff>()
        }

        test("a damaged record does not prevent the next bundle from being submitted and signed off") {
            val fixture = Fixture()
            fixture.release(1)
            fixture.platform.store(bundleKey(2), "{}".toByteArray())
            fixture.platform.store("bundles/notes", "x".toByteArray())
            fixture.submit(2).shouldBeInstanceOf<ProcedureFailure.Rejected>().message shouldContain "version 2 is taken"
            fixture.release(3)
            fixture.current() shouldBe 3
        }
    })
