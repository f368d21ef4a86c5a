package org.anvilshed.gateway

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.anvilshed.gateway.testbed.GatewayTestbed
import org.anvilshed.gateway.testbed.GatewayTestbed.Companion.await
import org.anvilshed.gateway.testbed.InMemoryStore
import org.anvilshed.gateway.testbed.ScriptedTarget
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Time within which the users want a confirmed config to be in force. */
private val CONFIG_BOUND = 2500.milliseconds

/** Time until a gateway has noticed an outage, and until it has read the store again after it. */
private const val NOTICE_MILLIS = 1_500L

/** Takes the store away, lets [whileAway] change it, and brings it back. */
private fun InMemoryStore.interrupt(whileAway: () -> Unit) {
    isDown = true
    Thread.sleep(NOTICE_MILLIS)
    whileAway()
    isDown = false
}

class GatewayRestoredStoreTest :
    FunSpec({
        val target = ScriptedTarget { request, socket -> ScriptedTarget.respond(socket, request) }
        afterSpec { target.close() }

        // Guards against revisions from before a restore that are compared with those of after it.
        test("a config that is confirmed after the store was restored from an older copy is in force in time") {
            GatewayTestbed().use { testbed ->
                testbed.config(1)
                testbed.target("target", target)
                val copy = testbed.store.copy()
                repeat(20) { testbed.target("other-$it", target) }
                testbed.config(1)
                testbed.awaitReady()
                testbed.call("/new/").status shouldBe 404
                testbed.store.interrupt { testbed.store.restore(copy) }
                Thread.sleep(NOTICE_MILLIS)
                testbed.config(2)
                await(CONFIG_BOUND) { testbed.call("/new/").status == 200 }
            }
        }

        test("a config in force stays in force while a restored store shows an older one") {
            GatewayTestbed().use { testbed ->
                testbed.config(1)
                testbed.target("target", target)
                val copy = testbed.store.copy()
                testbed.config(2)
                testbed.awaitReady()
                await { testbed.call("/new/").status == 200 }
                testbed.store.interrupt { testbed.store.restore(copy) }
                val end = System.nanoTime() + 3.seconds.inWholeNanoseconds
                while (System.nanoTime() < end) testbed.call("/new/").status shouldBe 200
            }
        }

        // Guards against a watch from a revision that the restored store assigns a second time.
        test("a draining target gets no more requests although its change has a revision that was assigned before") {
            GatewayTestbed().use { testbed ->
                testbed.config(1)
                testbed.target("target", target)
                val copy = testbed.store.copy()
                repeat(5) { testbed.config(1) }
                testbed.target("target", target)
                testbed.awaitReady()
                testbed.store.interrupt {
                    testbed.store.restore(copy)
                    testbed.target("target", target, draining = true)
                    repeat(20) { testbed.config(1) }
                }
                await(CONFIG_BOUND) { testbed.call("/safe/").status == 503 }
            }
        }
    })
