package org.anvilshed.core.lifecycle

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.anvilshed.core.MonotonicTime
import kotlin.time.Duration.Companion.seconds

class StopDeadlineTest :
    FunSpec({
        val now = MonotonicTime(1_000)
        val stop = StopDeadline(now + 3.seconds)

        test("a request is sent if its response comes before the end") {
            stop.allowsSend(now + 9.seconds, 3.seconds, now) shouldBe true
            stop.allowsSend(now + 9.seconds, 4.seconds, now) shouldBe false
            stop.allowsSend(now + 9.seconds, 3.seconds, now + 1.seconds) shouldBe false
        }

        test("a request whose deadline passes before the end is sent however long it may take") {
            stop.allowsSend(now + 3.seconds, 9.seconds, now) shouldBe true
            stop.allowsSend(now + 3.seconds, 9.seconds, now + 2.seconds) shouldBe true
        }
    })
