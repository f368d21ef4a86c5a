package org.anvilshed.core.fleet

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.anvilshed.core.MonotonicTime
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val REPORT_PERIOD = 1500.milliseconds

class StoreContactTest :
    FunSpec({
        val start = MonotonicTime(1_000)
        fun contact() = StoreContact { REPORT_PERIOD }.apply { recordResponse(start) }

        test("a registration that is missing after an interruption shorter than one report period has not expired") {
            val contact = contact()
            contact.recordFailure(isSilent = true, start)
            contact.mayReturnUntilOrNull(start + 1.seconds) shouldBe null
            contact.recordResponse(start + 1400.milliseconds)
            contact.mayReturnUntilOrNull(start + 1400.milliseconds) shouldBe null
        }

        // Guards against live targets that are dropped: two missed reports can make three periods without one.
        test("a registration that is missing after an outage in which a target missed two reports may have expired") {
            val lastReport = start + 100.milliseconds
            val outageEnd = lastReport + REPORT_PERIOD * 2 + 1.milliseconds
            val expiry = lastReport + REPORT_PERIOD * 3
            val contact = StoreContact { REPORT_PERIOD }
            contact.recordResponse(lastReport + REPORT_PERIOD - 1.milliseconds)
            contact.recordFailure(isSilent = true, start)
            contact.recordResponse(outageEnd)
            contact.mayReturnUntilOrNull(expiry) shouldBe outageEnd + StoreContact.RETURN_TIME
        }

        // Guards against a target that is taken for one that has left because a VM reaches the store later than others.
        test(
            "a removal that is heard of after targets had time to return may still be that of an expired registration",
        ) {
            val contact = contact()
            contact.mayHaveExpired(start + 1.seconds) shouldBe false
            contact.recordFailure(isSilent = true, start)
            contact.mayHaveExpired(start + 4.seconds) shouldBe true
            for (second in 5..8) contact.recordResponseToPeer(start + second.seconds)
            contact.recordResponse(start + 9.seconds)
            contact.mayReturnUntilOrNull(start + 9.seconds) shouldBe null
            contact.mayHaveExpired(start + 9.seconds) shouldBe true
            contact.mayHaveExpired(start + 10.seconds) shouldBe false
        }

        test("an outage begins with the first error, not with the last response before a quiet time") {
            val contact = contact()
            contact.recordFailure(isSilent = false, start + 9.seconds)
            contact.recordResponse(start + 10.seconds)
            contact.mayReturnUntilOrNull(start + 10.seconds) shouldBe null
            contact.recordFailure(isSilent = true, start + 19.seconds)
            contact.recordResponse(start + 20.seconds)
            contact.mayReturnUntilOrNull(start + 20.seconds) shouldBe start + 20.seconds + StoreContact.RETURN_TIME
        }

        test("the targets of expired registrations have the same time to return whenever their removal is heard of") {
            val contact = contact()
            contact.recordFailure(isSilent = true, start)
            contact.recordResponse(start + 5.seconds)
            val until = start + 5.seconds + StoreContact.RETURN_TIME
            contact.mayReturnUntilOrNull(start + 5.seconds) shouldBe until
            contact.mayReturnUntilOrNull(start + 7.seconds) shouldBe until
            contact.mayReturnUntilOrNull(until) shouldBe null
        }

        test("a failed call shortly after the return of the store gives no more time") {
            val contact = contact()
            contact.recordFailure(isSilent = true, start)
            contact.recordResponse(start + 5.seconds)
            contact.recordFailure(isSilent = true, start)
            contact.recordResponse(start + 6.seconds)
            contact.mayReturnUntilOrNull(start + 6.seconds) shouldBe start + 5.seconds + StoreContact.RETURN_TIME
        }

        test("registrations may have expired as long as the store does not respond to any VM") {
            val contact = contact()
            contact.recordFailure(isSilent = true, start)
            contact.mayReturnUntilOrNull(start + 9.seconds) shouldBe start + 9.seconds + StoreContact.RETURN_TIME
        }

        test("a VM that is cut off from the store takes missing registrations for left while the store serves others") {
            val contact = contact()
            contact.recordFailure(isSilent = true, start)
            for (second in 1..9) contact.recordResponseToPeer(start + second.seconds)
            contact.mayReturnUntilOrNull(start + 9.seconds) shouldBe null
        }

        test("a quiet time without failures is no outage") {
            val contact = contact()
            contact.recordResponse(start + 10.seconds)
            contact.mayReturnUntilOrNull(start + 10.seconds) shouldBe null
        }

        test("whatever fails in whatever order, no missing registration is kept for longer than the time to return") {
            repeat(200) { seed ->
                val random = Random(seed)
                val contact = contact()
                var now = start
                var latestResponse = start
                repeat(100) {
                    now += random.nextInt(1, 2_500).milliseconds
                    if (random.nextInt(3) == 0) {
                        contact.recordResponse(now)
                        latestResponse = now
                    } else {
                        contact.recordFailure(isSilent = random.nextBoolean(), now)
                    }
                    val until = contact.mayReturnUntilOrNull(now)
                    if (until != null && latestResponse < now) {
                        (until <= now + StoreContact.RETURN_TIME) shouldBe true
                    } else if (until != null) {
                        (until <= latestResponse + StoreContact.RETURN_TIME) shouldBe true
                    }
                }
            }
        }
    })
