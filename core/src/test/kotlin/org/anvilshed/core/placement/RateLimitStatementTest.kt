package org.anvilshed.core.placement

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.anvilshed.core.placement.RateLimitStatement.Limited
import org.anvilshed.core.placement.RateLimitStatement.Unlimited
import org.anvilshed.core.placement.RateLimitStatement.Unreadable

class RateLimitStatementTest :
    FunSpec({
        test("a malformed or negative limit is unreadable, and the lowest of several counts") {
            val expected = listOf(
                emptyList<String>() to Unlimited,
                listOf("4.6") to Limited(4.6),
                listOf(" 5 ") to Limited(5.0),
                listOf("0") to Limited(0.0),
                listOf("7", "3.5") to Limited(3.5),
                listOf("7, 3.5") to Limited(3.5),
                listOf("7", "x") to Limited(7.0),
                listOf("1" + "0".repeat(400)) to Limited(Double.POSITIVE_INFINITY),
                listOf("") to Unreadable,
                listOf("-1") to Unreadable,
                listOf("NaN") to Unreadable,
                listOf("Infinity") to Unreadable,
                listOf("1e3") to Unreadable,
                listOf("0x10") to Unreadable,
                listOf("5/s") to Unreadable,
            )
            for ((values, statement) in expected) RateLimitStatement.parse(values) shouldBe statement
        }
    })
