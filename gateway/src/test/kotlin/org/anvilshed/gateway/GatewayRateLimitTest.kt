package org.anvilshed.gateway

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeGreaterThanOrEqual
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import org.anvilshed.core.SocketAddress
import org.anvilshed.gateway.testbed.CallerResponse
import org.anvilshed.gateway.testbed.GatewayTestbed
import org.anvilshed.gateway.testbed.GatewayTestbed.Companion.await
import org.anvilshed.gateway.testbed.InMemoryStore
import org.anvilshed.gateway.testbed.ScriptedTarget
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.concurrent.thread
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

private const val RATE = 5
private val WINDOW = 4.seconds

/** The users' bound on the requests in any [WINDOW] for a limit of [RATE]. */
private const val ALLOWED_IN_WINDOW = 35

/** Time until a limit must be in force, counted from the first response that stated it. */
private val GRACE = 3.seconds

/** Sends requests to all of [testbeds] for [duration], [perSecond] to each, and returns the responses. */
private fun flood(testbeds: List<GatewayTestbed>, perSecond: Int, duration: Duration): List<CallerResponse> {
    val responses = CopyOnWriteArrayList<CallerResponse>()
    val end = System.nanoTime() + duration.inWholeNanoseconds
    val callers = testbeds.flatMapIndexed { vm, testbed ->
        List(perSecond) { caller ->
            thread {
                var sequence = 0
                while (System.nanoTime() < end) {
                    val startedAt = System.nanoTime()
                    responses.add(testbed.call("/safe/", id = "id-$vm-$caller-${sequence++}"))
                    val pause = 1.seconds.inWholeNanoseconds - (System.nanoTime() - startedAt)
                    if (pause > 0) Thread.sleep(pause / 1_000_000)
                }
            }
        }
    }
    callers.forEach { it.join() }
    return responses
}

class GatewayRateLimitTest :
    FunSpec({
        // Guards against VMs that ignore the limit of a target, or that each use the whole limit.
        test("a target that states a rate limit gets no more requests than that from all VMs together") {
            val arrivals = CopyOnWriteArrayList<Long>()
            val isLimited = AtomicBoolean(true)
            val target = ScriptedTarget { request, socket ->
                arrivals.add(System.nanoTime())
                val limit = if (isLimited.get()) "X-Rate-Limit: $RATE\r\n" else ""
                ScriptedTarget.respond(socket, request, extra = limit)
            }
            val store = InMemoryStore()
            val peerPort = GatewayTestbed.freePort()
            val seeds = ArrayList<SocketAddress>()
            val testbeds = List(3) { index ->
                GatewayTestbed(store, "vm-$index", seeds.toList(), "127.0.0.${20 + index}", peerPort)
                    .also { seeds.add(it.settings.listen.control) }
            }
            testbeds.first().config(1)
            testbeds.first().target("target", target)
            testbeds.forEach { it.awaitReady() }
            await { testbeds.all { it.onEventLoop { it.gateway.lookUp(null, null) }.size == testbeds.size } }

            val responses = flood(testbeds, perSecond = 15, duration = 10.seconds)

            val counted = arrivals.filter { it >= arrivals.first() + GRACE.inWholeNanoseconds }
            val inWindows = counted.map { end -> counted.count { it > end - WINDOW.inWholeNanoseconds && it <= end } }
            inWindows.max() shouldBeLessThanOrEqual ALLOWED_IN_WINDOW
            // Half of what the limit allows in the remaining seconds.
            counted.size shouldBeGreaterThanOrEqual RATE * 7 / 2
            responses.map { it.status }.toSet() shouldBe setOf(200, 503)
            responses.filter { it.status == 503 }.all { "retry-after" in it.headers } shouldBe true

            isLimited.set(false)
            await { testbeds.all { it.call("/safe/").status == 200 } }
            Thread.sleep(500)
            flood(testbeds, perSecond = 5, duration = 2.seconds).all { it.status == 200 } shouldBe true
            testbeds.forEach { it.close() }
            target.close()
        }
    })
