package org.anvilshed.gateway

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldNotContain
import org.anvilshed.gateway.callers.RefusedText

class RefusedTextTest :
    FunSpec({
        test("the line that makes a head invalid is found, and only printable characters of it are shown") {
            val cases = mapOf(
                "GET / HTTP/1.1\r\nHost: a\r\nName : v\r\n\r\n" to "Name : v",
                "GET /a b HTTP/1.1\r\nHost: a\r\n\r\n" to "GET /a b HTTP/1.1",
                "GET / HTTP/1.1\r\nA\u0001: v\r\n\r\n" to "A\\x01: v",
                "GET / HTTP/1.1\r\nA: \u0000\r\n\r\n" to "A: \\x00",
                "GET / HTTP/1.1\r\nContent-Length: 1\r\nA: b\r\ncontent-length: 2\r\n\r\n" to
                    "Content-Length: 1; content-length: 2",
                "GET / HTTP/1.1\r\nHost: a\nA: b\r\n\r\n" to "Host: a",
                "" to "",
            )
            for ((head, line) in cases) withClue(head) { RefusedText.offendingLine(head, true) shouldBe line }
            RefusedText.offendingLine("A: b\r\nC d\r\n\r\n", false) shouldBe "C d"
        }

        test("the values of credentials are never shown, also on folded lines and in malformed ones") {
            val secret = "c2VjcmV0"
            val lines = listOf(
                "Authorization : $secret",
                "authorization:\r\n $secret\u0000",
                "Proxy-Authorization: \u0000$secret",
                "Cookie $secret",
                "X-\u0001Authorization=$secret",
            )
            for (line in lines) {
                val sample = RefusedText.offendingLine("GET / HTTP/1.1\r\n$line\r\n\r\n", true)
                withClue(line) { sample shouldNotContain secret }
                sample shouldContain "not shown"
            }
        }

        test("a sample is bounded") {
            RefusedText.offendingLine(
                "GET / HTTP/1.1\r\n" + "\u0001".repeat(70_000),
                true,
            ).length shouldBeLessThanOrEqual
                130
        }
    })
