package org.anvilshed.core.placement

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.comparables.shouldBeGreaterThan
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import io.kotest.matchers.types.shouldBeInstanceOf
import org.anvilshed.core.MonotonicTime
import org.anvilshed.core.RegionName
import org.anvilshed.core.fleet.RegisteredTarget
import org.anvilshed.core.fleet.TargetKey
import org.anvilshed.core.ingress.ServicePolicy
import kotlin.time.Duration
import kotlin.time.Duration.Companion.ZERO
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private fun pool(vararg targets: RegisteredTarget): ServicePool {
    val shiftLimiter = ShiftChangeLimiter({ 0.15 }, RegionName("home"))
    val pool = ServicePool("vm", { SETTINGS }, shiftLimiter) {
        if (it ==
            LOCAL_ZONE
        ) {
            1.milliseconds
        } else {
            100.milliseconds
        }
    }
    pool.updateTargets(targets.toList(), emptySet(), START - 10.seconds)
    pool.updatePolicy(ServicePolicy(100, 3.seconds, 10.0), listOf("vm"))
    return pool
}

private fun ServicePool.send(now: MonotonicTime, key: String? = null): Placement.Send =
    offer(request(now, key = key), now).shouldBeInstanceOf<Placement.Send>()

/** Answers requests of the class after 100 ms each, until [START], so that the pool learns this time. */
private fun ServicePool.learn(priority: Int, latencyObjective: Duration) {
    for (step in 60 downTo 1) {
        val now = START - 200.milliseconds * step
        val send = offer(request(now, priority, latencyObjective), now).shouldBeInstanceOf<Placement.Send>()
        finish(send.inFlight, ANSWERED, now + 100.milliseconds)
    }
}

private val ANSWERED = TargetOutcome.Answered(failed = false, report = null)

class ServicePoolTest :
    FunSpec({
        // Guards against decisions whose cost grows with the square of the targets, or with the length of the queue.
        test("a decision looks at each target once, and at none for waiting requests while all targets are full") {
            var lookups = 0
            val targets = List(200) { target("target-$it", if (it % 2 == 0) LOCAL_ZONE else REMOTE_ZONE) }
            val pool = ServicePool("vm", { SETTINGS }, ShiftChangeLimiter({ 0.15 }, RegionName("home"))) {
                lookups++
                1.milliseconds
            }
            pool.updateTargets(targets, emptySet(), START - 10.seconds)
            pool.updatePolicy(ServicePolicy(100, 3.seconds, 10.0), listOf("vm"))
            pool.send(START, key = "object")
            // One for each target, and some for the chosen one.
            lookups shouldBeLessThanOrEqual 210
            repeat(100) { pool.send(START) }
            pool.updateAnnouncedSlots { 10.0 }
            repeat(50) { pool.offer(request(START, latencyObjective = 1.seconds, deadline = 3.seconds), START) }
            pool.queueLength shouldBeGreaterThan 24
            lookups = 0
            pool.dispatchWaiting(START + 1.milliseconds) shouldHaveSize 0
            lookups shouldBe 0
        }

        // Guards against ways past the limit: requests that leave the queue together, retries, and cached objects.
        test("no request gets past a stated rate limit, whether it is new, waited or is a retry for a cached object") {
            val pool = pool(target("a", slots = 8))
            pool.learn(1, 300.milliseconds)
            val sentAt = ArrayList<MonotonicTime>()
            val running = ArrayList<Placement.Send>()
            fun take(placement: Placement, now: MonotonicTime) {
                if (placement !is Placement.Send) return
                sentAt.add(now)
                running.add(placement)
                pool.recordRateLimit(placement.inFlight, RateLimitStatement.Limited(2.0), now)
            }
            for (step in 0 until 12_000 step 20) {
                val now = START + step.milliseconds
                repeat(3) { take(pool.offer(request(now, 1, 2.seconds, 4.seconds, key = "object"), now), now) }
                pool.dispatchWaiting(now).forEach { (_, placement) -> take(placement, now) }
                val ended = running.filter { now - it.inFlight.sentAt >= 100.milliseconds }
                running.removeAll(ended)
                ended.forEach { pool.finish(it.inFlight, ANSWERED, now) }
            }
            val inWindows = sentAt.map { end -> sentAt.count { it > end - 4.seconds && it <= end } }
            // The first requests of the queue are sent before the first response states the limit.
            inWindows.max() shouldBeLessThanOrEqual 2 * 4 + 1
            sentAt.size shouldBeGreaterThan 20
        }

        // Guards against callers that wait for a target which takes no more requests in time, or return too early.
        test("a request that a rate limit keeps from its only target is refused at once, with the time to return") {
            val pool = pool(target("a", slots = 8))
            pool.learn(1, 300.milliseconds)
            val first = pool.send(START)
            pool.recordRateLimit(first.inFlight, RateLimitStatement.Limited(0.5), START)
            val refused = pool.offer(request(START, deadline = 1.seconds), START).shouldBeInstanceOf<Placement.Refuse>()
            refused.reason shouldBe PlacementRefusalReason.DEADLINE
            refused.retryAfter shouldBeGreaterThan 900.milliseconds
            pool.send(START + 4.seconds)
        }

        test("a waiting request is not examined while the only target with free slots is kept by its rate limit") {
            var lookups = 0
            val pool = ServicePool("vm", { SETTINGS }, ShiftChangeLimiter({ 0.15 }, RegionName("home"))) {
                lookups++
                1.milliseconds
            }
            pool.updateTargets(listOf(target("a", slots = 8)), emptySet(), START - 10.seconds)
            pool.updatePolicy(ServicePolicy(100, 3.seconds, 10.0), listOf("vm"))
            val first = pool.send(START)
            pool.recordRateLimit(first.inFlight, RateLimitStatement.Limited(2.0), START)
            pool.offer(request(START, 1, 2.seconds, 4.seconds), START).shouldBeInstanceOf<Placement.Wait>()
            lookups = 0
            pool.dispatchWaiting(START + 100.milliseconds) shouldHaveSize 0
            lookups shouldBe 0
            pool.dispatchWaiting(START + 1.seconds) shouldHaveSize 1
        }

        // Guards against a shortcut that leaves requests waiting for targets that are all gone.
        test("waiting requests are refused at once when their service has no target any more") {
            val pool = pool(target("a", slots = 1))
            pool.learn(1, 1.seconds)
            pool.updateAnnouncedSlots { 3.0 }
            val waiting = pool.offer(request(START, latencyObjective = 1.seconds, deadline = 3.seconds), START)
                .shouldBeInstanceOf<Placement.Wait>()
            pool.updateTargets(emptyList(), emptySet(), START)
            val (ticket, placement) = pool.dispatchWaiting(START + 1.milliseconds).single()
            ticket shouldBe waiting.ticket
            placement.shouldBeInstanceOf<Placement.Refuse>().reason shouldBe PlacementRefusalReason.NO_TARGET
        }

        test("the time in which a caller reads a streamed response does not count as processing time") {
            val pool = pool(target("a"), target("b"))
            pool.learn(1, 300.milliseconds)
            val learned = pool.offer(request(START), START).shouldBeInstanceOf<Placement.Send>()
            repeat(20) { number ->
                val sentAt = START + 3.seconds * number
                val send = pool.offer(request(sentAt), sentAt).shouldBeInstanceOf<Placement.Send>()
                val answered = TargetOutcome.Answered(false, null, answeredAt = sentAt + 100.milliseconds)
                pool.finish(send.inFlight, answered, sentAt + 2.seconds)
            }
            val later = START + 70.seconds
            val next = pool.offer(request(later), later).shouldBeInstanceOf<Placement.Send>()
            (next.inFlight.expectedTime - learned.inFlight.expectedTime).absoluteValue shouldBeLessThan 20.milliseconds
        }

        test("requests wait for a full service, and the most urgent is served first, whatever the order of arrival") {
            val pool = pool(target("a", slots = 1))
            listOf(0, 1, 2).forEach { pool.learn(it, 1.seconds) }
            val running = pool.offer(
                request(START, latencyObjective = 1.seconds),
                START,
            ).shouldBeInstanceOf<Placement.Send>()
            pool.offer(request(START, latencyObjective = 1.seconds), START).shouldBeInstanceOf<Placement.Send>()
            val late = pool.offer(
                request(START, priority = 2, latencyObjective = 1.seconds, deadline = 3.seconds),
                START,
            ).shouldBeInstanceOf<Placement.Wait>()
            val urgent = pool.offer(
                request(START, priority = 0, latencyObjective = 1.seconds, deadline = 3.seconds),
                START,
            ).shouldBeInstanceOf<Placement.Wait>()
            val end = START + 50.milliseconds
            pool.finish(running.inFlight, ANSWERED, end)
            val decided = pool.dispatchWaiting(end)
            decided shouldHaveSize 1
            decided.single().first shouldBe urgent.ticket
            pool.cancel(late.ticket) shouldBe true
        }

        test("a request that would wait beyond its latency objective is refused at once with a time to retry") {
            val pool = pool(target("a", slots = 1))
            repeat(2) { pool.send(START) }
            val placements = List(50) { pool.offer(request(START, deadline = 3.seconds), START) }
            val refused = placements.filterIsInstance<Placement.Refuse>()
            placements.count { it is Placement.Wait } shouldBeLessThanOrEqual 5
            refused.first().reason shouldBe PlacementRefusalReason.OVERLOADED
            refused.first().retryAfter shouldBeGreaterThan ZERO
        }

        test("a waiting request is refused when its waiting time expires, not kept until the caller abandons it") {
            val pool = pool(target("a", slots = 1))
            pool.learn(1, 900.milliseconds)
            repeat(2) {
                pool.offer(
                    request(START, latencyObjective = 900.milliseconds),
                    START,
                ).shouldBeInstanceOf<Placement.Send>()
            }
            val waiting = pool.offer(
                request(START, latencyObjective = 900.milliseconds),
                START,
            ).shouldBeInstanceOf<Placement.Wait>()
            pool.dispatchWaiting(START + 20.milliseconds) shouldHaveSize 0
            val decided = pool.dispatchWaiting(START + 900.milliseconds)
            decided.single().first shouldBe waiting.ticket
            decided.single().second.shouldBeInstanceOf<Placement.Refuse>()
        }

        test("no request goes to a draining target or one in an evacuated zone") {
            val pool = pool(target("a"))
            pool.updateTargets(listOf(target("a").copy(draining = true)), emptySet(), START)
            pool.offer(request(START), START).shouldBeInstanceOf<Placement.Refuse>().reason shouldBe
                PlacementRefusalReason.NO_TARGET
            pool.mayReceive(target("a"), START) shouldBe false
            pool.updateTargets(listOf(target("a")), setOf(LOCAL_ZONE), START)
            pool.offer(request(START), START).shouldBeInstanceOf<Placement.Refuse>()
            pool.mayReceive(target("a"), START) shouldBe false
        }

        test("a request that was placed may not be sent once its target leaves, while its connection is opened") {
            val pool = pool(target("a"), target("b"))
            val sent = pool.send(START)
            pool.mayReceive(sent.target, START) shouldBe true
            val name = sent.target.key.name
            val others = listOf("a", "b").filter { it != name }.map { target(it) }
            pool.updateTargets(others + target(name).copy(draining = true), emptySet(), START)
            pool.mayReceive(sent.target, START) shouldBe false
            pool.updateTargets(others, emptySet(), START)
            pool.mayReceive(sent.target, START) shouldBe false
            // Another run has the name.
            val nextRun = target(name).copy(key = TargetKey(name, sent.target.key.startedAtMillis + 1))
            pool.updateTargets(others + nextRun, emptySet(), START)
            pool.mayReceive(sent.target, START) shouldBe false
        }

        test("a target that asked for a pause gets no request until it is over, and a refusal says when that is") {
            val pool = pool(target("a"), target("b"))
            val first = pool.send(START)
            val second = pool.send(START)
            first.target.key shouldNotBe second.target.key
            pool.recordPause(first.inFlight, 2.seconds, START)
            pool.recordPause(first.inFlight, 1.seconds, START)
            pool.mayReceive(first.target, START + 1999.milliseconds) shouldBe false
            pool.mayReceive(second.target, START) shouldBe true
            pool.send(START + 1.seconds).target.key shouldBe second.target.key
            pool.recordPause(second.inFlight, 3.seconds, START)
            val refused = pool.offer(request(START), START + 1.seconds).shouldBeInstanceOf<Placement.Refuse>()
            refused.reason shouldBe PlacementRefusalReason.PAUSED
            refused.retryAfter shouldBeGreaterThan 1.seconds
            val resumed = START + 1.seconds + refused.retryAfter
            pool.mayReceive(first.target, resumed) shouldBe true
            pool.mayReceive(second.target, resumed) shouldBe false
        }

        test("a waiting request is refused at once when all targets have asked for a pause") {
            val pool = pool(target("a", slots = 1))
            pool.learn(1, 900.milliseconds)
            val sent = List(2) {
                pool.offer(request(START, latencyObjective = 900.milliseconds), START)
                    .shouldBeInstanceOf<Placement.Send>()
            }
            val waiting = pool.offer(request(START, latencyObjective = 900.milliseconds), START)
                .shouldBeInstanceOf<Placement.Wait>()
            pool.recordPause(sent.first().inFlight, 2.seconds, START)
            val decided = pool.dispatchWaiting(START + 10.milliseconds)
            decided.single().first shouldBe waiting.ticket
            decided.single().second.shouldBeInstanceOf<Placement.Refuse>().reason shouldBe PlacementRefusalReason.PAUSED
        }

        test("the VMs that a target turned away at one moment return one after the other") {
            val members = List(300) { "vm-$it" }
            val resumed = members.map { member ->
                val pool = ServicePool(member, { SETTINGS }, ShiftChangeLimiter({ 0.15 }, RegionName("home"))) {
                    1.milliseconds
                }
                pool.updateTargets(listOf(target("a")), emptySet(), START - 10.seconds)
                val sent = pool.offer(request(START), START).shouldBeInstanceOf<Placement.Send>()
                pool.recordPause(sent.inFlight, 4.seconds, START)
                (0..1_100 step 100).first { pool.mayReceive(sent.target, START + 4.seconds + it.milliseconds) }
            }
            resumed.groupingBy { it }.eachCount().values.max() shouldBeLessThanOrEqual 50
        }

        test("a request goes to the target that handled its object before") {
            val pool = pool(target("a"), target("b"), target("c"))
            var now = START
            repeat(3) {
                val other = pool.send(now, key = "other")
                pool.finish(other.inFlight, ANSWERED, now + 200.milliseconds)
            }
            val first = pool.send(now, key = "7")
            pool.finish(first.inFlight, ANSWERED, now + 200.milliseconds)
            repeat(5) {
                now += 400.milliseconds
                val next = pool.send(now, key = "7")
                next.target.key shouldBe first.target.key
                pool.finish(next.inFlight, ANSWERED, now + 60.milliseconds)
            }
        }

        test("targets of another region are used only when those of the VM's region are full") {
            val pool = pool(target("a", slots = 1), target("b", zone = REMOTE_ZONE, slots = 5))
            repeat(2) { pool.send(START).target.zone shouldBe LOCAL_ZONE }
        }

        // Guards against a region that has just lost its targets and refuses all its requests as too late.
        test("requests of a region without targets are sent to other regions and wait for their targets") {
            val pool = pool(target("far", zone = REMOTE_ZONE, slots = 1))
            pool.offer(request(START, latencyObjective = 2.seconds, deadline = 5.seconds), START)
                .shouldBeInstanceOf<Placement.Send>()
            pool.offer(request(START, latencyObjective = 2.seconds, deadline = 5.seconds), START)
                .shouldBeInstanceOf<Placement.Wait>()
        }

        // Guards against refusals while another region has an idle slot that could still serve the request.
        test("a request that can't wait for a target of its region is sent to a free slot of another region") {
            val pool = pool(target("near", slots = 1), target("far", zone = REMOTE_ZONE, slots = 4))
            pool.learn(1, 300.milliseconds)
            val zones = List(20) { pool.offer(request(START), START) }
                .filterIsInstance<Placement.Send>().map { it.target.zone }
            zones shouldContain REMOTE_ZONE
        }

        test("other VMs' requests in flight count as load, so that VMs do not all choose the same target") {
            val pool = pool(target("a", slots = 2), target("b", slots = 2))
            pool.updateAnnouncedSlots { if (it == "a") 3.0 else 0.0 }
            repeat(3) { pool.send(START).target.key.name shouldBe "b" }
        }

        test("a slow target gets few requests, and others get them instead") {
            val pool = pool(target("slow", slots = 4), target("good", slots = 4))
            var now = START
            val sends = ArrayList<String>()
            repeat(200) {
                now += 100.milliseconds
                val send = pool.send(now)
                sends.add(send.target.key.name)
                val processingTime = if (send.target.key.name == "slow") 2.seconds else 100.milliseconds
                pool.finish(send.inFlight, ANSWERED, now + processingTime)
            }
            sends.drop(100).count { it == "slow" } shouldBeLessThanOrEqual 20
        }

        test("an unreachable target gets no requests for a while") {
            val pool = pool(target("a"), target("b"), target("c"))
            val first = pool.send(START)
            pool.finish(first.inFlight, TargetOutcome.Unreachable, START)
            val names = List(5) {
                val send = pool.send(START + 100.milliseconds)
                pool.finish(send.inFlight, ANSWERED, START + 101.milliseconds)
                send.target.key.name
            }
            (first.target.key.name in names) shouldBe false
        }

        test("if most targets are unreachable, none of them is excluded") {
            val pool = pool(target("a"), target("b"))
            repeat(2) {
                val send = pool.send(START)
                pool.finish(send.inFlight, TargetOutcome.Unreachable, START)
            }
            pool.send(START)
        }

        test("a cold target gets no more requests than its limit for one VM") {
            val pool = pool(target("cold", slots = 100, coldUntil = START + 10.seconds))
            var sent = 0
            for (step in 0 until 1_000) {
                val now = START + step.milliseconds
                if (pool.offer(request(now, deadline = 50.milliseconds), now) is Placement.Send) sent++
            }
            sent shouldBeLessThanOrEqual 20
        }

        test("every new target gets a request, so that its speed is measured") {
            val pool = pool(target("a"), target("b"))
            var now = START
            val names = HashSet<String>()
            repeat(20) {
                now += 200.milliseconds
                val send = pool.send(now)
                names.add(send.target.key.name)
                pool.finish(send.inFlight, ANSWERED, now + 50.milliseconds)
            }
            names shouldContain "a"
            names shouldContain "b"
        }
    })
