package org.anvilshed.core

import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe

class IncarnationTest :
    FunSpec({
        test("the smallest and largest numbers are written and read back") {
            for (value in listOf(0L, 1L, -1L, Long.MIN_VALUE, Long.MAX_VALUE)) {
                val text = Incarnation(value).toString()
                text.length shouldBe 16
                parseIncarnation(text) shouldBe Incarnation(value)
            }
        }

        // Guards against two texts for one incarnation, which would give one request identifier two execution records.
        test("signs, upper case and other lengths are rejected") {
            for (text in listOf("", "0", "+000000000000001", "00000000000000AB", "00000000000000001")) {
                parseIncarnationOrNull(text) shouldBe null
                shouldThrow<IllegalArgumentException> { parseIncarnation(text) }
            }
        }
    })
