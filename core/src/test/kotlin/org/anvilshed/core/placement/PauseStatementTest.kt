package org.anvilshed.core.placement

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class PauseStatementTest :
    FunSpec({
        test("a pause is a positive number of seconds, and the longest of several") {
            val cases = mapOf(
                listOf("2") to 2.seconds,
                listOf(" 0.25 ") to 250.milliseconds,
                listOf("1", "3") to 3.seconds,
                listOf("1, 3") to 3.seconds,
                listOf("soon", "3") to 3.seconds,
                listOf("999999999999") to 1.hours,
                emptyList<String>() to null,
                listOf("0") to null,
                listOf("-5") to null,
                listOf("") to null,
                listOf("1e9") to null,
                listOf("9".repeat(400)) to null,
                listOf("Fri, 31 Dec 2027 23:59:59 GMT") to null,
            )
            for ((values, pause) in cases) withClue(values) { parsePauseOrNull(values) shouldBe pause }
        }
    })
