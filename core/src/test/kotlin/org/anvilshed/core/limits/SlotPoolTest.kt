package org.anvilshed.core.limits

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.comparables.shouldBeLessThanOrEqualTo
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import org.anvilshed.core.MonotonicTime
import org.anvilshed.core.TargetName
import org.anvilshed.core.seats.ShareSet
import org.anvilshed.core.seats.UsableShares
import org.anvilshed.core.seats.target
import kotlin.concurrent.thread
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val START = MonotonicTime(-5_000_000_000)
private val USE = UsableShares(ShareSet.of(64, 0..63), START + 6.seconds, 10.seconds)

class SlotPoolTest :
    FunSpec({
        val name = TargetName("t")

        test("two halves of the shares own each slot exactly once, for any number of slots and shares") {
            for (slots in 0..9) {
                val low = ownedSlots(name, slots, ShareSet.of(64, 0..31))
                low + ownedSlots(name, slots, ShareSet.of(128, 64..127)) shouldBe slots
                ((low * 2 - slots) in -1..1) shouldBe true
            }
        }

        test("no slot is taken from the end of the right on, or of an unknown target") {
            var use = USE
            val pool = SlotPool { use }
            pool.update(listOf(target("t", 1)), use, START).fits shouldBe true
            pool.acquireOrNull(TargetName("other"), START).shouldBeNull()
            pool.acquireOrNull(name, START + 6.seconds).shouldBeNull()
            pool.acquireOrNull(name, START + 6.seconds - 1.milliseconds).shouldNotBeNull()
            use = UsableShares.NONE
            pool.free(name, START) shouldBe 0
        }

        test("a slot in use stays taken when its target is dropped, and the usage does not fit until it ends") {
            val pool = SlotPool { USE }
            pool.update(listOf(target("t", 2)), USE, START)
            val slot = pool.acquireOrNull(name, START).shouldNotBeNull()
            pool.update(emptyList(), USE, START).fits shouldBe false
            pool.inFlight(name) shouldBe 1
            repeat(2) { slot.complete() }
            pool.update(emptyList(), USE, START).fits shouldBe true
            pool.inFlight(name) shouldBe 0
        }

        test("an abandoned slot becomes free at its deadline and is freed only once") {
            val pool = SlotPool { USE }
            pool.update(listOf(target("t", 1)), USE, START)
            val slot = pool.acquireOrNull(name, START).shouldNotBeNull()
            slot.abandon(START + 2.seconds)
            slot.complete()
            pool.acquireOrNull(name, START + 2.seconds - 1.milliseconds).shouldBeNull()
            pool.acquireOrNull(name, START + 2.seconds).shouldNotBeNull()
            pool.acquireOrNull(name, START + 3.seconds).shouldBeNull()
        }

        test("threads never take more slots than are owned while the limit changes") {
            val pool = SlotPool { USE }
            val threads = List(4) { thread { repeat(20_000) { pool.acquireOrNull(name, START)?.complete() } } }
            repeat(2_000) { round ->
                val usage = pool.update(listOf(target("t", round % 4)), USE, START)
                if (usage.fits) pool.inFlight(name) shouldBeLessThanOrEqualTo round % 4
            }
            threads.forEach { it.join() }
            pool.inFlight(name) shouldBe 0
        }
    })
