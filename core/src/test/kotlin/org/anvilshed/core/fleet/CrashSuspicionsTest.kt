package org.anvilshed.core.fleet

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import org.anvilshed.core.MonotonicTime
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val DEADLY = 7L
private const val HARMLESS = 8L
private val WORK = 50.milliseconds
private val start = MonotonicTime(0) + 100.seconds

private fun target(number: Int) = TargetKey("target-$number", 1)

/** Lets [target] end at [at] while it has the request since [WORK] before. */
private fun CrashSuspicions.crash(fingerprint: Long, target: TargetKey, at: MonotonicTime) {
    recordConnectionEnded(fingerprint, target, at - WORK, at)
    recordRefusedConnection(target, at + 5.milliseconds)
}

class CrashSuspicionsTest :
    FunSpec({
        test("a request under which two targets ended one after the other is suspended for a stated time") {
            val crashes = CrashSuspicions("vm")
            crashes.crash(DEADLY, target(1), start)
            crashes.isSuspended(DEADLY, start) shouldBe false
            crashes.mayRetry(DEADLY) shouldBe false
            crashes.crash(DEADLY, target(2), start + 1.seconds)
            crashes.isSuspended(DEADLY, start + 1.seconds) shouldBe true
            crashes.isSuspended(DEADLY, start + 30.seconds) shouldBe true
            crashes.isSuspended(DEADLY, start + 61.seconds) shouldBe false
            crashes.isSuspended(HARMLESS, start + 1.seconds) shouldBe false
        }

        test("a request that is tried again after its suspension is suspended again by one further crash") {
            val crashes = CrashSuspicions("vm")
            crashes.crash(DEADLY, target(1), start)
            crashes.crash(DEADLY, target(2), start + 1.seconds)
            val triedAgain = start + 62.seconds
            crashes.expire(triedAgain)
            crashes.isSuspended(DEADLY, triedAgain) shouldBe false
            crashes.crash(DEADLY, target(3), triedAgain)
            crashes.isSuspended(DEADLY, triedAgain) shouldBe true
        }

        test("broken connections to targets that accept new ones suspend no request") {
            val crashes = CrashSuspicions("vm")
            for (number in 1..9) {
                val at = start + number.seconds
                crashes.recordConnectionEnded(HARMLESS, target(number), at - WORK, at)
                crashes.recordAcceptedConnection(target(number))
                crashes.recordRefusedConnection(target(number), at + 1.seconds).shouldBeEmpty()
            }
            crashes.isEmpty shouldBe true
        }

        test("a connection that is refused long after another one broke is no evidence") {
            val crashes = CrashSuspicions("vm")
            crashes.recordConnectionEnded(HARMLESS, target(1), start - WORK, start)
            crashes.recordRefusedConnection(target(1), start + 3.seconds).shouldBeEmpty()
        }

        test("targets that end at one moment have no request in common that crashed them") {
            val crashes = CrashSuspicions("vm")
            for (number in 1..5) crashes.crash(HARMLESS, target(number), start + number.milliseconds)
            crashes.isSuspended(HARMLESS, start) shouldBe false
        }

        test("a request that got a response is not suspended for the crashes before it") {
            val crashes = CrashSuspicions("vm")
            crashes.crash(HARMLESS, target(1), start)
            crashes.recordResponse(HARMLESS, start + 500.milliseconds)
            crashes.crash(HARMLESS, target(2), start + 1.seconds)
            crashes.isSuspended(HARMLESS, start + 1.seconds) shouldBe false
            crashes.crash(HARMLESS, target(3), start + 2.seconds)
            crashes.isSuspended(HARMLESS, start + 2.seconds) shouldBe true
            crashes.recordResponse(HARMLESS, start + 3.seconds)
            crashes.isSuspended(HARMLESS, start + 3.seconds) shouldBe false
        }

        test("a request that was sent again to the next target that another one crashed is not suspended") {
            val crashes = CrashSuspicions("vm")
            for (number in 1..3) crashes.crash(DEADLY, target(number), start + number.seconds)
            for (number in 1..2) {
                val at = start + number.seconds
                crashes.record(CrashObservation(HARMLESS, target(number).hashCode(), at - WORK, at), at)
            }
            crashes.isSuspended(DEADLY, start + 4.seconds) shouldBe true
            crashes.isSuspended(HARMLESS, start + 4.seconds) shouldBe false
        }

        test("a second request that crashes targets of its own is suspended as well") {
            val crashes = CrashSuspicions("vm")
            for (number in 1..3) crashes.crash(DEADLY, target(number), start + number.seconds)
            for (number in 4..5) crashes.crash(HARMLESS, target(number), start + number.seconds)
            crashes.isSuspended(HARMLESS, start + 5.seconds) shouldBe true
        }

        test("two lifetimes of one target count as two, and one crash that several VMs report counts once") {
            val crashes = CrashSuspicions("vm")
            crashes.crash(DEADLY, TargetKey("target", 1), start)
            crashes.record(
                CrashObservation(DEADLY, TargetKey("target", 1).hashCode(), start, start + 60.milliseconds),
                start,
            )
            crashes.isSuspended(DEADLY, start + 1.seconds) shouldBe false
            crashes.crash(DEADLY, TargetKey("target", 2), start + 5.seconds)
            crashes.isSuspended(DEADLY, start + 5.seconds) shouldBe true
        }

        test("whatever is observed, memory and announcements are bounded, and all of it is forgotten") {
            val crashes = CrashSuspicions("vm")
            val random = Random(1)
            var now = start
            repeat(5_000) { number ->
                now += 10.milliseconds
                crashes.crash(random.nextLong(), target(number), now)
                crashes.announced(now).size shouldBeLessThanOrEqual 24
            }
            crashes.expire(now + 60.seconds)
            crashes.isEmpty shouldBe true
        }

        // Guards against a loss of many targets that hides the request that crashes one after the other.
        test("a suspended request is announced although more requests than fit were at other targets that ended") {
            val crashes = CrashSuspicions("vm")
            crashes.crash(DEADLY, target(1), start)
            crashes.crash(DEADLY, target(2), start + 1.seconds)
            for (number in 10..60) crashes.crash(100L + number, target(number), start + 2.seconds)
            val peer = CrashSuspicions("peer")
            crashes.announced(start + 2.seconds).forEach { peer.record(it, start + 2.seconds) }
            peer.isSuspended(DEADLY, start + 2.seconds) shouldBe true
        }

        test("requests that were at one crash are announced for a shorter time than they are remembered") {
            val crashes = CrashSuspicions("vm")
            crashes.crash(HARMLESS, target(1), start)
            crashes.announced(start + 1.seconds) shouldHaveSize 1
            crashes.announced(start + 10.seconds).shouldBeEmpty()
            crashes.expire(start + 10.seconds)
            crashes.isEmpty shouldBe false
        }

        test("the sum over all VMs stays within the bound, with restarts and VMs that hear nothing for a while") {
            for ((vms, seed) in listOf(7 to 1, 7 to 2, 37 to 3, 37 to 4, 300 to 5)) {
                CrashSimulation(vms, Random(seed)).run().lateSends shouldBeLessThanOrEqual 3
            }
        }
    })

/** VMs that get the deadly request at random, and hear of one another's observations every [period]. */
private class CrashSimulation(private val vms: Int, private val random: Random) {
    private val suspicions = MutableList(vms) { CrashSuspicions("vm-$it") }
    private val period: Duration = 400.milliseconds

    /** When each VM heard others last; a VM that was restarted or deaf is not in touch for the window after that. */
    private val inTouchSince = MutableList(vms) { start }
    private val crashTimes = ArrayList<MonotonicTime>()
    var lateSends = 0

    fun run(): CrashSimulation {
        var now = start
        repeat(200) {
            now += 100.milliseconds
            if (random.nextInt(40) == 0) restart(random.nextInt(vms), now)
            repeat(random.nextInt(2)) { arrive(random.nextInt(vms), now) }
            if ((now - start).inWholeMilliseconds % period.inWholeMilliseconds == 0L) exchange(now)
        }
        return this
    }

    private fun restart(vm: Int, now: MonotonicTime) {
        suspicions[vm] = CrashSuspicions("vm-$vm")
        inTouchSince[vm] = now
    }

    private fun arrive(vm: Int, now: MonotonicTime) {
        if (suspicions[vm].isSuspended(DEADLY, now)) return
        val isKnown = crashTimes.size >= 3 && now - crashTimes[2] > STABLE_WINDOW
        if (isKnown && now - inTouchSince[vm] > STABLE_WINDOW) lateSends++
        suspicions[vm].crash(DEADLY, target(crashTimes.size), now + WORK)
        crashTimes.add(now + WORK)
    }

    private fun exchange(now: MonotonicTime) {
        val announced = suspicions.map { it.announced(now) }
        val heard = announced.flatten().toSet()
        for (vm in 0 until vms) heard.forEach { suspicions[vm].record(it, now) }
    }

    private companion object {
        val STABLE_WINDOW = 3.seconds
    }
}
