package org.anvilshed.core.execution

import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.anvilshed.core.Incarnation
import org.anvilshed.core.VmIdentity
import org.anvilshed.core.VmName

class RequestIdentifierTest :
    FunSpec({
        val owner = VmIdentity(VmName("nbo-a-1"), Incarnation(0x5f3a9c0d11223344))

        test("the text of an identifier is parsed to the same identifier") {
            for (nonce in listOf("a".repeat(8), "Az09_-".repeat(10) + "1234")) {
                val identifier = RequestIdentifier(owner, 42, nonce)
                identifier.toString() shouldBe "nbo-a-1.5f3a9c0d11223344.42.$nonce"
                parseRequestIdentifier(identifier.toString()) shouldBe identifier
            }
            formatToken(owner, 0) shouldBe "nbo-a-1.5f3a9c0d11223344.0"
        }

        // Two texts for one request would lead to two records, and the request could run twice.
        test("malformed texts and other spellings of an identifier are rejected") {
            val token = "nbo-a-1.5f3a9c0d11223344.42"
            val malformed = listOf(
                "", token, "$token.", "$token.1234567", "$token.${"a".repeat(65)}", "$token.1234567é",
                "$token.12345678.x", " $token.12345678", "$token.12345678 ", "nbo-a-1.5f3a9c0d11223344..12345678",
                "nbo-a-1.5f3a9c0d11223344.-1.12345678", "nbo-a-1.5f3a9c0d11223344.042.12345678",
                "nbo-a-1.5f3a9c0d11223344.+42.12345678", "nbo-a-1.5F3A9C0D11223344.42.12345678",
                "nbo-a-1.+f3a9c0d11223344.42.12345678", "nbo-a-1.5f3a9c0d1122334.42.12345678",
                "NBO.5f3a9c0d11223344.42.12345678", "nbo-a-1.5f3a9c0d11223344.9223372036854775808.12345678",
            )
            malformed.filter { parseRequestIdentifierOrNull(it) != null } shouldBe emptyList()
            shouldThrow<IllegalArgumentException> { parseRequestIdentifier(token) }
            shouldThrow<IllegalArgumentException> { RequestIdentifier(owner, -1, "12345678") }
        }
    })
