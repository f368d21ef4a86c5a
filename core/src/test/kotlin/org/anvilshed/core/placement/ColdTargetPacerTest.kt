package org.anvilshed.core.placement

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import org.anvilshed.core.MonotonicTime
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class ColdTargetPacerTest :
    FunSpec({
        // Guards against more requests in a second than a cold target tolerates, when several VMs send to it.
        test("all VMs together stay within the bound of a cold target in any second, whatever their number") {
            for ((rate, members) in listOf(16.0 to 7, 7.6 to 7, 16.0 to 26, 7.6 to 24, 2.0 to 300)) {
                val overshoot = 1.5
                val slack = 5.0
                val names = List(members) { "vm-$it" }
                val senders = ColdTargetPacer.senderCount(rate, overshoot, slack, members)
                val pacers = names.filter {
                    ColdTargetPacer.isSender("target", it, names, senders)
                }.map { ColdTargetPacer() }
                pacers.size shouldBe senders
                val sent = ArrayList<MonotonicTime>()
                var now = MonotonicTime(0)
                repeat(5_000) {
                    now += 1.milliseconds
                    for (pacer in pacers) if (pacer.tryTake(rate, senders, now)) sent.add(now)
                }
                for (end in sent) {
                    val inSecond = sent.count { it > end - 1.seconds && it <= end }
                    inSecond.toDouble() shouldBeLessThanOrEqual rate * overshoot + slack
                }
            }
        }
    })
