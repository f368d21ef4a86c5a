package org.anvilshed.core.admission

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import org.anvilshed.core.MonotonicTime
import org.anvilshed.core.RefusalReason
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.nanoseconds
import kotlin.time.Duration.Companion.seconds

private val NOW = MonotonicTime(0)

private fun queue(capacity: Int? = null, slots: Int = 4) = AdmissionQueue<String>(capacity).also { it.resize(slots) }

private fun AdmissionQueue<String>.offer(name: String, priority: Double = 1.0, remaining: Duration = 5.seconds) =
    offer(name, priority, NOW + remaining, NOW)

private fun AdmissionQueue<String>.queued(name: String, priority: Double = 1.0, remaining: Duration = 5.seconds) =
    offer(name, priority, remaining).shouldBeInstanceOf<OfferResult.Queued<String>>()

private fun AdmissionQueue<String>.refusal(name: String, priority: Double = 1.0, remaining: Duration = 5.seconds) =
    offer(name, priority, remaining).shouldBeInstanceOf<OfferResult.Refused<String>>()

class AdmissionQueueTest :
    FunSpec({
        test("the capacity is twice the slots, at least 8, or as configured") {
            queue(slots = 0).capacity shouldBe 8
            queue(slots = 4).capacity shouldBe 8
            queue(slots = 5).capacity shouldBe 10
            queue(capacity = 1).capacity shouldBe 1
        }

        test("requests leave by descending priority, then by deadline, then by arrival") {
            val queue = queue()
            queue.queued("late", priority = 1.0, remaining = 3.seconds)
            queue.queued("early", priority = 1.0, remaining = 2.seconds)
            queue.queued("payout", priority = 20.0, remaining = 4.seconds)
            queue.queued("early too", priority = 1.0, remaining = 2.seconds)
            List(5) { queue.poll(NOW).next?.request } shouldBe listOf("payout", "early", "early too", "late", null)
        }

        test("a full queue drops the request of the lowest priority, and keeps the older one of equal priority") {
            val queue = queue(capacity = 2)
            queue.queued("low", priority = 1.0)
            queue.queued("middle", priority = 2.0)
            queue.refusal("equal", priority = 1.0).reason shouldBe RefusalReason.QUEUE_FULL
            val result = queue.queued("high", priority = 3.0)
            result.removed.map { it.ticket.request to it.reason } shouldBe listOf("low" to RefusalReason.QUEUE_FULL)
            queue.size shouldBe 2
        }

        test("a request is refused or removed from its deadline on, and not a nanosecond before") {
            val queue = queue()
            queue.refusal("now", remaining = Duration.ZERO).reason shouldBe RefusalReason.DEADLINE_PASSED
            queue.queued("soon", remaining = 10.nanoseconds)
            queue.expire(NOW + 9.nanoseconds).shouldBeEmpty()
            val polled = queue.poll(NOW + 10.nanoseconds)
            polled.next shouldBe null
            polled.removed.single().reason shouldBe RefusalReason.DEADLINE_PASSED
        }

        test("an expired request makes room in a full queue, whatever its priority") {
            val queue = queue(capacity = 1)
            queue.queued("expired", priority = 9.0, remaining = 1.seconds)
            val later = NOW + 1.seconds
            val result = queue.offer("new", 1.0, later + 1.seconds, later)
            result.shouldBeInstanceOf<OfferResult.Queued<String>>().removed.single().ticket.request shouldBe "expired"
        }

        test("a request that by estimate ends after its deadline is refused, with the waiting time as retry time") {
            val queue = queue(slots = 2)
            queue.recordServed(200.milliseconds)
            queue.queued("first", remaining = 450.milliseconds)
            queue.queued("second", remaining = 450.milliseconds)
            // With two requests ahead, 300 ms pass until a slot is free, followed by 200 ms of work.
            val refused = queue.refusal("third", remaining = 499.milliseconds)
            refused.reason shouldBe RefusalReason.DEADLINE_TOO_SHORT
            refused.retryAfter shouldBe 300.milliseconds
            queue.queued("third", remaining = 500.milliseconds)
            // Requests with a lower priority add nothing to the waiting time.
            queue.queued("high", priority = 2.0, remaining = 300.milliseconds)
        }

        test("a VM without slots queues nothing") {
            queue(slots = 0).refusal("any").reason shouldBe RefusalReason.NO_SEAT
        }

        test("a cancelled or polled request cannot be cancelled again") {
            val queue = queue()
            val ticket = queue.queued("first").ticket
            queue.cancel(ticket) shouldBe true
            queue.cancel(ticket) shouldBe false
            val polled = queue.queued("second").ticket
            queue.poll(NOW).next shouldBe polled
            queue.cancel(polled) shouldBe false
        }

        test("a request that is put back regains its position, also in a full queue") {
            val queue = queue(capacity = 1)
            queue.queued("first", remaining = 1.seconds)
            val first = checkNotNull(queue.poll(NOW).next)
            queue.queued("second", remaining = 2.seconds)
            queue.putBack(first)
            queue.size shouldBe 2
            List(2) { queue.poll(NOW).next?.request } shouldBe listOf("first", "second")
        }
    })
