package org.anvilshed.gateway

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.anvilshed.gateway.store.StoreKind
import org.anvilshed.gateway.testbed.GatewayTestbed
import org.anvilshed.gateway.testbed.GatewayTestbed.Companion.await
import org.anvilshed.gateway.testbed.InMemoryStore
import org.anvilshed.gateway.testbed.ScriptedTarget
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Repeats [check] for [duration], at least as long as a target takes until its next report. */
private fun repeatFor(duration: Duration = 2.seconds, check: () -> Unit) {
    val end = System.nanoTime() + duration.inWholeNanoseconds
    while (System.nanoTime() < end) check().also { Thread.sleep(10) }
}

/** The store may perform a report of a target seconds after it was sent, and after later reports. */
class GatewayLateReportTest :
    FunSpec({
        val target = ScriptedTarget { request, socket -> ScriptedTarget.respond(socket, request) }
        afterSpec { target.close() }

        // Guards against requests to a target that leaves, after the store performed an older report of it.
        test("a report that is performed late does not undo draining, neither by an event nor by a listing") {
            GatewayTestbed().use { testbed ->
                testbed.config(1)
                testbed.target("target", target, sequence = 3)
                testbed.awaitReady()
                testbed.call("/safe/").status shouldBe 200
                testbed.target("target", target, draining = true, sequence = 5)
                await { testbed.call("/safe/").status == 503 }
                testbed.target("target", target, sequence = 4)
                repeatFor { testbed.call("/safe/").status shouldBe 503 }
                testbed.store.isDown = true
                testbed.store.forgetHistory()
                Thread.sleep(500)
                testbed.store.isDown = false
                repeatFor { testbed.call("/safe/").status shouldBe 503 }
                testbed.target("target", target, sequence = 1, startedAt = 2)
                await(1.seconds) { testbed.call("/safe/").status == 200 }
            }
        }

        // Guards against requests to a target that left without draining.
        test("a report that is performed after the removal of the entry does not bring the target back") {
            GatewayTestbed().use { testbed ->
                testbed.config(1)
                testbed.target("target", target, sequence = 3)
                testbed.awaitReady()
                testbed.call("/safe/").status shouldBe 200
                testbed.store.remove(StoreKind.TARGETS, "target")
                await { testbed.call("/safe/").status == 503 }
                testbed.target("target", target, sequence = 4)
                // The store removes an entry after three periods without a report.
                repeatFor(testbed.settings.reportPeriod * 3) { testbed.call("/safe/").status shouldBe 503 }
                testbed.store.remove(StoreKind.TARGETS, "target")
                testbed.target("target", target, sequence = 1, startedAt = 2)
                await(1.seconds) { testbed.call("/safe/").status == 200 }
            }
        }

        test("a target whose entry expired in an outage is used again as soon as it reports") {
            GatewayTestbed().use { testbed ->
                testbed.config(1)
                testbed.target("target", target, sequence = 3)
                testbed.awaitReady()
                testbed.store.isDown = true
                Thread.sleep(2_500)
                testbed.store.remove(StoreKind.TARGETS, "target")
                testbed.store.isDown = false
                Thread.sleep(1_000)
                testbed.target("target", target, sequence = 7)
                repeatFor(3.seconds) { testbed.call("/safe/").status shouldBe 200 }
            }
        }

        test("a target whose entry expired without an outage is used again although it is the only sign of its life") {
            GatewayTestbed().use { testbed ->
                testbed.config(1)
                testbed.target("target", target, sequence = 3)
                testbed.awaitReady()
                testbed.store.remove(StoreKind.TARGETS, "target")
                await { testbed.call("/safe/").status == 503 }
                testbed.target("target", target, sequence = 7)
                await { testbed.call("/safe/").status == 200 }
            }
        }

        // Guards against requests to the former address of a name, which another service may have by now.
        test("a late report of a former process does not take the requests of the new one") {
            ScriptedTarget { request, socket -> ScriptedTarget.respond(socket, request) }.use { former ->
                GatewayTestbed().use { testbed ->
                    testbed.config(1)
                    testbed.target("target", former, sequence = 30)
                    testbed.awaitReady()
                    testbed.call("/safe/").status shouldBe 200
                    testbed.target("target", target, sequence = 1, startedAt = 2)
                    val receivedOfNew = target.received.size
                    await { testbed.call("/safe/").status == 200 && target.received.size > receivedOfNew }
                    val receivedBefore = former.received.size
                    testbed.target("target", former, sequence = 31)
                    repeatFor { testbed.call("/safe/").status shouldBe 200 }
                    former.received.size shouldBe receivedBefore
                }
            }
        }

        // Guards against a VM that learns from a peer only what the store says.
        test("a VM that missed that a target drains learns it from a peer, although the store no longer says so") {
            val peerPort = GatewayTestbed.freePort()
            GatewayTestbed(host = "127.0.0.41", peerPort = peerPort).use { first ->
                first.config(1)
                first.target("target", target, sequence = 3)
                first.awaitReady()
                val cutOff = InMemoryStore().apply { isDown = true }
                val seeds = listOf(first.settings.listen.control)
                GatewayTestbed(cutOff, "vm-2", seeds, "127.0.0.42", peerPort).use { second ->
                    second.awaitReady()
                    second.call("/safe/").status shouldBe 200
                    first.target("target", target, draining = true, sequence = 5)
                    await { first.call("/safe/").status == 503 }
                    first.target("target", target, sequence = 4)
                    await { second.call("/safe/").status == 503 }
                    repeatFor { second.call("/safe/").status shouldBe 503 }
                }
            }
        }
    })
