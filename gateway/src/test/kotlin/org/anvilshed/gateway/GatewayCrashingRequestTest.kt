package org.anvilshed.gateway

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeGreaterThanOrEqual
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import org.anvilshed.gateway.testbed.GatewayTestbed
import org.anvilshed.gateway.testbed.ReceivedRequest
import org.anvilshed.gateway.testbed.ScriptedTarget
import java.net.Socket
import java.util.concurrent.atomic.AtomicInteger

/** Time from the third crash until all VMs must know that the request crashes targets, in milliseconds. */
private const val STABLE_WINDOW_MILLIS = 3_000L

/** Retries that may reach targets after that time. */
private const val LATE_RETRIES = 3

/** Targets that end as soon as they get a request whose path ends in "deadly". */
private class CrashingTargets(count: Int) : AutoCloseable {
    val deadlyRequests = AtomicInteger()
    val targets: List<ScriptedTarget> = List(count) { index ->
        ScriptedTarget { request, socket -> run(index, request, socket) }
    }

    private fun run(index: Int, request: ReceivedRequest, socket: Socket) {
        if (!request.line.contains("deadly")) return ScriptedTarget.respond(socket, request)
        deadlyRequests.incrementAndGet()
        targets[index].close()
        ScriptedTarget.reset(socket)
    }

    override fun close() = targets.forEach { it.close() }
}

class GatewayCrashingRequestTest :
    FunSpec({
        // Guards against a count of crashes that each VM, or each attempt of a caller, keeps for itself.
        test("a request that has crashed three targets is sent to no more than three others by any VM") {
            val peerPort = GatewayTestbed.freePort()
            CrashingTargets(12).use { crashing ->
                GatewayTestbed(host = "127.0.0.51", peerPort = peerPort).use { first ->
                    first.config(1)
                    crashing.targets.forEachIndexed { index, target -> first.target("target-$index", target) }
                    val seeds = listOf(first.settings.listen.control)
                    GatewayTestbed(first.store, "vm-2", seeds, "127.0.0.52", peerPort).use { second ->
                        first.awaitReady()
                        second.awaitReady()
                        var calls = 0
                        while (crashing.deadlyRequests.get() < 3 && calls < 6) {
                            listOf(first, second)[calls % 2].call("/safe/deadly", id = "early-${calls++}")
                        }
                        Thread.sleep(STABLE_WINDOW_MILLIS)
                        val before = crashing.deadlyRequests.get()
                        repeat(8) { listOf(first, second)[it % 2].call("/safe/deadly", id = "late-$it") }
                        crashing.deadlyRequests.get() - before shouldBeLessThanOrEqual LATE_RETRIES
                        first.call("/safe/harmless").status shouldBe 200
                        second.call("/safe/harmless").status shouldBe 200
                    }
                }
            }
        }

        test("requests that were at a target when its connections broke are served after that") {
            val broken = AtomicInteger()
            ScriptedTarget { request, socket ->
                if (broken.getAndIncrement() < 6) {
                    ScriptedTarget.reset(socket)
                } else {
                    ScriptedTarget.respond(socket, request)
                }
            }.use { target ->
                GatewayTestbed().use { testbed ->
                    testbed.config(1)
                    testbed.target("target", target)
                    testbed.awaitReady()
                    var calls = 0
                    while (testbed.call("/safe/harmless", id = "id-$calls").status != 200) {
                        ++calls shouldBeLessThanOrEqual 20
                        Thread.sleep(100)
                    }
                    broken.get() shouldBeGreaterThanOrEqual 6
                }
            }
        }
    })
