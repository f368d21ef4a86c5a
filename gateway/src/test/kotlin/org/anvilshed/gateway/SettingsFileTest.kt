package org.anvilshed.gateway

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.anvilshed.core.SocketAddress
import org.anvilshed.gateway.testbed.GatewayTestbed
import org.anvilshed.gateway.testbed.ScriptedTarget
import java.io.File
import java.util.concurrent.CountDownLatch
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Decodes `<lookup time to live in ms> <peer port>`. */
private fun decode(testbed: GatewayTestbed, text: String): SettingsResult<GatewaySettings> {
    val numbers = text.trim().split(' ').map { it.toIntOrNull() }
    val faults = listOf("time_to_live", "peer_port").filterIndexed { index, _ -> numbers.getOrNull(index) == null }
    if (faults.isNotEmpty()) return SettingsResult.Invalid(faults.map { "$it: not a number" })
    val settings =
        testbed.settings.copy(lookupTimeToLive = numbers[0]!!.milliseconds, peerPort = numbers[1]!!)
    return SettingsResult.Valid(settings)
}

private fun withSettingsFile(test: (GatewayTestbed, File, SettingsFile<GatewaySettings>) -> Unit) {
    GatewayTestbed().use { testbed ->
        val file = File.createTempFile("settings", ".conf")
        file.writeText("200 ${testbed.settings.peerPort}")
        val settingsFile = SettingsFile(file, file.readText(), DecisionLog(systemClock), { decode(testbed, it) }) {
            testbed.gateway.updateSettings(it)
        }
        test(testbed, file, settingsFile)
        file.delete()
    }
}

private fun GatewayTestbed.timeToLive(): Duration = onEventLoop { gateway.settings.lookupTimeToLive }

class SettingsFileTest :
    FunSpec({
        test("a valid change is in force after the signal") {
            withSettingsFile { testbed, file, settingsFile ->
                file.writeText("700 ${testbed.settings.peerPort}")
                testbed.timeToLive() shouldBe 200.milliseconds
                testbed.onEventLoop { settingsFile.reload("signal") }
                testbed.timeToLive() shouldBe 700.milliseconds
            }
        }

        test("a change without a signal is noticed") {
            withSettingsFile { testbed, file, settingsFile ->
                testbed.inBackground { settingsFile.watch() }
                file.writeText("900 ${testbed.settings.peerPort}")
                GatewayTestbed.await { testbed.timeToLive() == 900.milliseconds }
            }
        }

        test("a request that is in progress during a change is answered") {
            withSettingsFile { testbed, file, settingsFile ->
                val release = CountDownLatch(1)
                val target = ScriptedTarget { request, socket ->
                    release.await()
                    ScriptedTarget.respond(socket, request)
                }
                testbed.config(1)
                testbed.target("target", target)
                testbed.awaitReady()
                testbed.connect().use { socket ->
                    ScriptedTarget.write(socket, "GET /safe/ HTTP/1.1\r\nHost: test.example\r\nX-Id: id\r\n\r\n")
                    GatewayTestbed.await { target.received.size == 1 }
                    file.writeText("700 ${testbed.settings.peerPort}")
                    testbed.onEventLoop { settingsFile.reload("signal") }
                    release.countDown()
                    testbed.readResponse(socket).status shouldBe 200
                }
                target.close()
            }
        }

        test("a file with a fault is rejected as a whole, also if it can't be read") {
            withSettingsFile { testbed, file, settingsFile ->
                file.writeText("700 port")
                testbed.onEventLoop { settingsFile.reload("signal") }
                testbed.timeToLive() shouldBe 200.milliseconds
                file.delete()
                testbed.onEventLoop { settingsFile.reload("signal") }
                testbed.timeToLive() shouldBe 200.milliseconds
                file.writeText("800 ${testbed.settings.peerPort}")
                testbed.onEventLoop { settingsFile.reload("signal") }
                testbed.timeToLive() shouldBe 800.milliseconds
            }
        }

        test("settings that need a restart stay as they are, and the others change") {
            GatewayTestbed().use { testbed ->
                val newer = testbed.settings.copy(
                    seeds = listOf(SocketAddress("127.0.0.1", 1)),
                    peerPort = testbed.settings.peerPort + 1,
                    stopTimeout = 9.seconds,
                    placement = testbed.settings.placement.copy(retrySlack = 7.0, retryWindow = 1.seconds),
                )
                testbed.onEventLoop { testbed.gateway.updateSettings(newer) } shouldBe false
                val inForce = testbed.onEventLoop { testbed.gateway.settings }
                inForce.peerPort shouldBe testbed.settings.peerPort
                inForce.placement.retryWindow shouldBe testbed.settings.placement.retryWindow
                inForce.placement.retrySlack shouldBe 7.0
                inForce.seeds shouldBe newer.seeds
                inForce.stopTimeout shouldBe 9.seconds
            }
        }
    })
