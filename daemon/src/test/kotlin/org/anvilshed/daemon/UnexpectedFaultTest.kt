package org.anvilshed.daemon

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeIn
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import io.vertx.core.VertxException
import io.vertx.core.json.JsonArray
import io.vertx.core.json.JsonObject
import org.anvilshed.core.MonotonicTime
import org.anvilshed.daemon.testbed.TEST_TIMEOUT
import org.anvilshed.daemon.testbed.TestZone
import org.anvilshed.daemon.testbed.Testbed
import java.io.IOException
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration.Companion.seconds

private val zone = TestZone("nbo-a", "nbo")
private const val NEVER = -1
private const val MAXIMUM_CALLS = 100

/** Clock that throws an exception at one of the calls that the code of [packageName] makes. */
private class FaultyDaemonClock(private val packageName: String) : DaemonClock by SystemClock {
    private val callsBefore = AtomicInteger(NEVER)

    val hasFailed: Boolean
        get() = callsBefore.get() == NEVER

    fun failAfter(calls: Int) = callsBefore.set(calls)

    override fun now(): MonotonicTime {
        val isCounted = !hasFailed && isOnPath()
        check(!isCounted || callsBefore.getAndUpdate { if (it == 0) NEVER else it - 1 } != 0) { "clock fault" }
        return SystemClock.now()
    }

    private fun isOnPath(): Boolean = StackWalker.getInstance().walk { frames ->
        frames.anyMatch { it.className.startsWith(packageName) }
    }
}

class UnexpectedFaultTest :
    FunSpec({
        timeout = TEST_TIMEOUT.inWholeMilliseconds

        // Guards against requests that get no response, and no end of their connection, after an unexpected exception.
        test("a fault anywhere in the work of a request leaves its caller with a response or a closed connection") {
            val testbed = Testbed(listOf(zone))
            testbed.start()
            val clock = FaultyDaemonClock("org.anvilshed.daemon.request.")
            val daemon = testbed.startDaemon("nbo-a-vm-1", zone, clock = clock)
            testbed.awaitReady()
            for (isPayout in listOf(false, true)) {
                var failures = 0
                for (calls in 0 until MAXIMUM_CALLS) {
                    val identifier = "${testbed.token(daemon, "nbo-a-vm-1")}.unexpected-fault-$calls"
                    clock.failAfter(calls)
                    val status = try {
                        val response =
                            if (isPayout) testbed.pay(daemon, "/echo", identifier) else testbed.read(daemon, "/echo")
                        response.statusCode()
                    } catch (_: IOException) {
                        null
                    } catch (_: VertxException) {
                        null
                    }
                    withClue("payout: $isPayout, $calls") { status shouldBeIn setOf(200, 500, 503, 504, null) }
                    if (!clock.hasFailed) break
                    failures++
                }
                failures shouldBeGreaterThan 2
                clock.failAfter(NEVER)
                // The slots of the failed requests stay taken until their targets have ended them.
                eventually(30.seconds) { testbed.read(daemon, "/echo").statusCode() shouldBe 200 }
            }
            testbed.stop()
        }

        // Guards against a VM that follows the platform no longer after an unexpected exception.
        test("a new bundle and a leaving target come into effect after faults in the work of the control plane") {
            val testbed = Testbed(listOf(zone), targetsPerZone = 2)
            testbed.start()
            val clock = FaultyDaemonClock("org.anvilshed.daemon.control.")
            val daemon = testbed.startDaemon("nbo-a-vm-1", zone, clock = clock)
            testbed.awaitReady()
            for (calls in 0 until 20) {
                clock.failAfter(calls)
                eventually(10.seconds) { clock.hasFailed shouldBe true }
            }
            testbed.operators.publish(testbed.platform, 2, testbed.bundle(2))
            eventually(10.seconds) { testbed.status(daemon).getInteger("bundle_version") shouldBe 2 }
            val leaving = JsonObject().put("name", "nbo-a-target-1").put("role", "target").put("zone", "nbo-a")
                .put("address", "127.0.0.1:1").put("state", "leaving")
            testbed.platform.vms = JsonArray().add(leaving)
            eventually(10.seconds) {
                repeat(20) { testbed.read(daemon, "/echo").getHeader("Anvilshed-Target") shouldBe "nbo-a-target-2" }
            }
            testbed.stop()
        }
    })
