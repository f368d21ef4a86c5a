package org.anvilshed.core.placement

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.plusOrMinus
import io.kotest.matchers.doubles.shouldBeGreaterThanOrEqual
import io.kotest.matchers.doubles.shouldBeLessThanOrEqual
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import org.anvilshed.core.MonotonicTime
import org.anvilshed.core.ingress.ServicePolicy
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val TARGET = target("target")

/** VMs that send to one target as often as their limiters allow, and announce their use as the gateway does. */
private class SimulatedSenders(
    members: Int,
    private val coldRate: Double = 1.0,
    private val coldUntil: MonotonicTime = TARGET.coldUntil,
) {
    private inner class Vm(val name: String) {
        val limiter = SharedRateLimiter(name) { SETTINGS }.also {
            it.update(ServicePolicy(100, 60.seconds, coldRate), names)
        }
        val load = TargetLoad(TARGET.copy(coldUntil = coldUntil), START)
        var announced: TargetRate? = null
    }

    private val names = List(members) { "vm-$it" }
    private val vms = names.map { Vm(it) }.toMutableList()
    private var now = START
    private val sent = ArrayList<MonotonicTime>()
    private var step = 0L
    private val random = Random(1)

    /**
     * Runs for [duration]; the VMs of [active] want to send at each millisecond with [probability], and those that are
     * not in [running] stand still.
     */
    fun run(
        duration: Duration,
        stated: Double?,
        active: IntRange,
        probability: Double = 1.0,
        running: IntRange = vms.indices,
    ) {
        repeat(duration.inWholeMilliseconds.toInt()) {
            now += 1.milliseconds
            for (index in active) {
                val vm = vms[index]
                if (random.nextDouble() >= probability || !vm.limiter.allows(vm.load, now)) continue
                send(vm, stated)
            }
            if (++step % ANNOUNCEMENT_PERIOD == 0L) announce(running)
        }
    }

    /** Replaces the process of the VM at [index], which forgets what it knew. */
    fun restart(index: Int) {
        vms[index] = Vm(names[index])
    }

    fun sentBetween(from: Duration, to: Duration): Int = sent.count { it > START + from && it <= START + to }

    /** Returns the largest number of requests in any span of [window] that begins at [from] or later. */
    fun maximumIn(window: Duration, from: Duration = 0.seconds): Int {
        val counted = sent.filter { it >= START + from }
        var first = 0
        var maximum = 0
        for ((index, end) in counted.withIndex()) {
            while (counted[first] <= end - window) first++
            maximum = maxOf(maximum, index - first + 1)
        }
        return maximum
    }

    private fun send(vm: Vm, stated: Double?) {
        vm.load.recordSent(
            InFlightRequest(vm.load, request(now), now, 100.milliseconds, 0.0, 1.0, ObjectRank.ANY, null),
            now,
        )
        val statement = stated?.let(RateLimitStatement::Limited) ?: RateLimitStatement.Unlimited
        vm.load.rateLimit.record(statement, now)
        sent.add(now)
    }

    /** The VMs of [running] exchange what they know; the others neither announce nor receive anything. */
    private fun announce(running: IntRange) {
        for (index in running) vms[index].announced = vms[index].load.rateLimit.announcementOrNull(now)
        val uses = vms.mapNotNull { it.announced }
        val latest = uses.filter { it.statement != null }.maxByOrNull { it.statedAt.nanoseconds } ?: return
        for (index in running) {
            val others = uses.sumOf { it.sendsPerSecond } - (vms[index].announced?.sendsPerSecond ?: 0.0)
            vms[index].load.rateLimit.recordAnnounced(TargetRate(latest.statement, latest.statedAt, others))
        }
    }

    private companion object {
        /** Period of announcements between regions, in milliseconds. */
        const val ANNOUNCEMENT_PERIOD = 400L
    }
}

private fun allowedInWindow(rate: Double): Double = rate * 4 * 1.5 + 5

class SharedRateLimiterTest :
    FunSpec({
        // Guards against more requests in a second than a cold target tolerates, when several VMs send to it.
        test("all VMs together stay within the bound of a cold target in any second, whatever their number") {
            for ((rate, members) in listOf(16.0 to 7, 7.6 to 7, 16.0 to 26, 7.6 to 24, 2.0 to 300)) {
                val senders = SimulatedSenders(members, coldRate = rate, coldUntil = START + 60.seconds)
                val names = List(members) { "vm-$it" }
                val count = SharedRate(rate, RateTolerance(1.seconds, 1.5, 5.0)).senderCount(members)
                names.count { SharedRate.senderPosition("target", it, names) < count } shouldBe count
                senders.run(5.seconds, stated = null, active = 0 until members)
                senders.maximumIn(1.seconds).toDouble() shouldBeLessThanOrEqual rate * 1.5 + 5.0
                // A VM sends its first request at once, and the pace must not keep the others from the rate.
                senders.sentBetween(0.seconds, 5.seconds).toDouble() shouldBeGreaterThanOrEqual rate * 0.8 * 5 - members
            }
        }

        // Guards against a sum over all VMs that exceeds the limit of a target, or leaves most of it unused.
        test("all VMs together keep a stated limit in any 4 s and use most of it, whatever their number") {
            for (members in listOf(1, 2, 7, 37, 300)) {
                for (rate in listOf(0.0, 0.5, 4.6, 20.0)) {
                    val senders = SimulatedSenders(members)
                    senders.run(30.seconds, rate, 0 until members)
                    // Until the first responses, nobody knows the limit.
                    senders.maximumIn(4.seconds, from = 1.seconds).toDouble() shouldBeLessThanOrEqual
                        allowedInWindow(rate)
                    senders.sentBetween(5.seconds, 30.seconds).toDouble() shouldBeGreaterThanOrEqual 0.8 * rate * 25
                }
            }
        }

        test("the VMs of one region use most of a limit that the VMs of other regions do not need") {
            for ((members, region) in listOf(7 to 2, 37 to 12, 300 to 100)) {
                val senders = SimulatedSenders(members)
                senders.run(2.seconds, 4.6, 0 until members)
                senders.run(58.seconds, 4.6, 0 until region)
                senders.maximumIn(4.seconds, from = 1.seconds).toDouble() shouldBeLessThanOrEqual allowedInWindow(4.6)
                senders.sentBetween(30.seconds, 60.seconds).toDouble() shouldBeGreaterThanOrEqual 0.6 * 4.6 * 30
            }
        }

        test("a limit holds while VMs restart and freeze, and when a frozen VM returns with its old part") {
            val members = 7
            val senders = SimulatedSenders(members)
            senders.run(6.seconds, 4.6, 0 until members)
            senders.run(3.seconds, 4.6, 2 until members, running = 2 until members)
            senders.run(3.seconds, 4.6, 0 until members)
            senders.restart(3)
            senders.run(4.seconds, 4.6, 0 until members)
            senders.run(3.seconds, 4.6, 0 until 2, running = 0 until 2)
            senders.run(4.seconds, 4.6, 0 until members)
            senders.maximumIn(4.seconds, from = 1.seconds).toDouble() shouldBeLessThanOrEqual allowedInWindow(4.6)
        }

        test("all VMs learn that a limit has ended, also those that were not among its senders") {
            val members = 37
            val senders = SimulatedSenders(members)
            senders.run(6.seconds, 0.5, 0 until members)
            // The senders are the only ones that may ask.
            senders.run(6.seconds, null, 0 until members, probability = 0.01)
            val before = senders.sentBetween(0.seconds, 12.seconds)
            senders.run(1.seconds, null, 0 until members, probability = 0.01)
            // 37 VMs want to send 10 requests per second each.
            senders.sentBetween(0.seconds, 13.seconds) - before shouldBeGreaterThan 250
        }

        test("a limit without any response for long is tried again by VMs that were not among its senders") {
            val members = 300
            val last = members - 1
            val senders = SimulatedSenders(members)
            senders.run(2.seconds, 0.5, 0 until members)
            senders.run(35.seconds, 0.5, last..last)
            senders.sentBetween(2.seconds, 37.seconds) shouldBeGreaterThan 0
        }

        test("a statement of a target counts by the time at which the target made it, whoever got it") {
            val limit = TargetRateLimit()
            limit.record(RateLimitStatement.Unlimited, START)
            limit.recordAnnounced(TargetRate(RateLimitStatement.Limited(5.0), START - 1.seconds, 0.0))
            limit.requestsPerSecondOrNull shouldBe null
            limit.recordAnnounced(TargetRate(RateLimitStatement.Limited(5.0), START + 1.seconds, 0.0))
            limit.requestsPerSecondOrNull shouldBe 5.0
            limit.record(RateLimitStatement.Unreadable, START + 2.seconds)
            limit.requestsPerSecondOrNull shouldBe 5.0
            limit.record(RateLimitStatement.Unlimited, START + 3.seconds)
            limit.requestsPerSecondOrNull shouldBe null
        }

        test("the parts of all senders add up to the limit, whatever their use") {
            val rate = SharedRate(4.6, RateTolerance(4.seconds, 1.5, 5.0))
            for (uses in listOf(listOf(0.0, 0.0, 0.0), listOf(4.0, 0.5, 0.0), listOf(20.0, 30.0, 1.0))) {
                val parts = uses.map { rate.part(uses.size, it, uses.sum() - it) }
                parts.sum() shouldBe (4.6 plusOrMinus 1e-9)
            }
        }
    })
