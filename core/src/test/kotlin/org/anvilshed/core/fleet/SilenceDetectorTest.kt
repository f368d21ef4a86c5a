package org.anvilshed.core.fleet

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.shouldBe
import org.anvilshed.core.MonotonicTime
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val CHANGE_LIMIT = 2500.milliseconds

class SilenceDetectorTest :
    FunSpec({
        val start = MonotonicTime(1_000)
        fun detector() = SilenceDetector { CHANGE_LIMIT }

        test("as long as the store responds and the watches know its revision, nothing is renewed") {
            val detector = detector()
            repeat(20) { detector.recordResponse(isBehind = false, start + it.seconds) shouldBe SilenceAction.NONE }
        }

        test("a probe without a response is repeated on a new connection, and its response renews the others") {
            val detector = detector()
            detector.recordFailure(hadNoResponse = true) shouldBe SilenceAction.PROBE_AGAIN
            detector.isStoreLost shouldBe false
            detector.recordResponse(isBehind = false, start) shouldBe SilenceAction.RENEW
            detector.recordResponse(isBehind = false, start + 1.seconds) shouldBe SilenceAction.NONE
        }

        test("a store that responds on no connection is lost, and connections are renewed once it responds again") {
            val detector = detector()
            detector.recordFailure(hadNoResponse = true) shouldBe SilenceAction.PROBE_AGAIN
            repeat(5) {
                detector.recordFailure(hadNoResponse = true) shouldBe SilenceAction.NONE
                detector.isStoreLost shouldBe true
            }
            detector.recordResponse(isBehind = true, start) shouldBe SilenceAction.RENEW
            detector.isStoreLost shouldBe false
        }

        test("an error is no silence") {
            val detector = detector()
            detector.recordFailure(hadNoResponse = false) shouldBe SilenceAction.NONE
            detector.isStoreLost shouldBe true
            detector.recordResponse(isBehind = false, start) shouldBe SilenceAction.NONE
        }

        test("a revision of which no watch tells within the grace renews the connections") {
            val detector = detector()
            detector.recordResponse(isBehind = true, start) shouldBe SilenceAction.NONE
            val again = start + detector.period
            detector.recordResponse(isBehind = true, again) shouldBe SilenceAction.RENEW
            // The watches on the new connections get the same time to tell.
            detector.recordResponse(isBehind = true, again + 1.milliseconds) shouldBe SilenceAction.NONE
        }

        test("an event that arrives within the grace renews nothing") {
            val detector = detector()
            detector.recordResponse(isBehind = true, start) shouldBe SilenceAction.NONE
            detector.recordResponse(isBehind = false, start + 300.milliseconds) shouldBe SilenceAction.NONE
            detector.recordResponse(isBehind = true, start + 5.seconds) shouldBe SilenceAction.NONE
        }

        test("the parts of both ways to find silence leave a third of the change limit for round trips") {
            val detector = detector()
            detector.period + detector.timeout shouldBeLessThan CHANGE_LIMIT * 2 / 3
            val period = detector.period
            detector.recordResponse(isBehind = true, start)
            period + detector.period shouldBeLessThan CHANGE_LIMIT * 2 / 3
        }
    })
