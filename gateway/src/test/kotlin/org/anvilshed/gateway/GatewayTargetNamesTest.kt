package org.anvilshed.gateway

import io.kotest.assertions.withClue
import io.kotest.common.ExperimentalKotest
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeIn
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.Codepoint
import io.kotest.property.arbitrary.az
import io.kotest.property.arbitrary.choice
import io.kotest.property.arbitrary.map
import io.kotest.property.arbitrary.of
import io.kotest.property.arbitrary.string
import io.kotest.property.checkAll
import io.vertx.core.json.JsonObject
import org.anvilshed.gateway.store.StoreKind
import org.anvilshed.gateway.targets.targetNameFieldOrNull
import org.anvilshed.gateway.testbed.GatewayTestbed
import org.anvilshed.gateway.testbed.GatewayTestbed.Companion.await
import org.anvilshed.gateway.testbed.ScriptedTarget

/** Target that runs only the requests that state its [name], as the targets of the platform do. */
private fun strictTarget(name: String) = ScriptedTarget { request, socket ->
    val stated = request.headers["x-target"]
    if (stated == String(name.toByteArray(), Charsets.ISO_8859_1)) {
        ScriptedTarget.respond(socket, request)
    } else {
        ScriptedTarget.respond(socket, request, "421 Misdirected Request", extra = "X-Not-Run: 1\r\n")
    }
}

private val arbitraryCharacters = Arb.choice(
    Arb.of((0..0x2FF).map(::Codepoint)),
    Arb.of(0xD800, 0xDFFF, 0x20AC, 0x1F600).map(::Codepoint),
    Codepoint.az(),
)

@OptIn(ExperimentalKotest::class)
class GatewayTargetNamesTest :
    FunSpec({
        // Guards against requests without an answer because no header field can carry the name of the chosen target.
        test("each request is answered by a sound target, whatever names the entries of other writers have") {
            strictTarget("sound").use { target ->
                GatewayTestbed().use { testbed ->
                    testbed.config(1)
                    testbed.target("sound", target)
                    testbed.awaitReady()
                    val names = listOf(
                        "sound\u0000", "sound\r\nX-Odd: v", "sound\u007F", "sound\u20AC", "sound\uD800", "", " ", "\t",
                        " sound", "sound ", "sound\n", "sound\u0085", "s".repeat(100_000),
                    )
                    for (name in names) {
                        withClue(name.take(50)) {
                            testbed.store.set(StoreKind.TARGETS, name, JsonObject().put("port", target.port))
                            Thread.sleep(350)
                            repeat(4) { testbed.call("/safe/", id = "safe-$it").status shouldBe 200 }
                            repeat(2) {
                                testbed.call("/once/", id = "once-$it", method = "POST", body = "x").status shouldBe 200
                            }
                            testbed.store.remove(StoreKind.TARGETS, name)
                        }
                    }
                }
            }
        }

        test("with entries under any names beside a sound target, each request is answered and it stays in use") {
            strictTarget("sound").use { target ->
                GatewayTestbed().use { testbed ->
                    testbed.config(1)
                    testbed.target("sound", target)
                    testbed.awaitReady()
                    val names = Arb.string(0..6, arbitraryCharacters)
                    var readable = 0
                    checkAll(PropTestConfig(seed = 20261207, iterations = 300), names) { name ->
                        // Each entry under a proper name costs a 421, so there are few of them.
                        val isReadable = targetNameFieldOrNull(name) != null
                        if (!isReadable || readable++ < 5) {
                            testbed.store.set(StoreKind.TARGETS, name, JsonObject().put("port", target.port))
                        }
                    }
                    Thread.sleep(1_000)
                    repeat(50) { testbed.call("/safe/", id = "first-$it").status shouldBeIn setOf(200, 503) }
                    repeat(50) { testbed.call("/safe/", id = "then-$it").status shouldBe 200 }
                    // Only connections that are in the pool remain.
                    await { target.openConnections <= 4 }
                }
            }
        }

        test("targets whose names have no form in common are used") {
            for (name in listOf(
                "a",
                "I-7F3A91C2",
                "Zone A/42",
                "books_1.north@vm",
                "\u00E9t\u00E9-\u20AC",
                "x".repeat(200),
            )) {
                strictTarget(name).use { target ->
                    GatewayTestbed().use { testbed ->
                        testbed.config(1)
                        testbed.target(name, target)
                        testbed.awaitReady()
                        withClue(name) { testbed.call("/safe/").status shouldBe 200 }
                    }
                }
            }
        }

        test("a field value carries exactly the bytes of a name, or there is none") {
            val names = Arb.string(0..8, arbitraryCharacters)
            checkAll(PropTestConfig(seed = 7, iterations = 5_000), names) { name ->
                val field = targetNameFieldOrNull(name)
                if (field != null) {
                    String(field.toByteArray(Charsets.ISO_8859_1)) shouldBe name
                    field shouldBe field.trim(' ', '\t')
                    field.none { it < ' ' && it != '\t' || it == '\u007F' } shouldBe true
                }
            }
        }
    })
