package org.anvilshed.gateway

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.vertx.core.json.JsonObject
import org.anvilshed.gateway.store.StoreKind
import org.anvilshed.gateway.testbed.GatewayTestbed
import org.anvilshed.gateway.testbed.GatewayTestbed.Companion.await
import org.anvilshed.gateway.testbed.InMemoryStore
import org.anvilshed.gateway.testbed.ScriptedTarget
import org.anvilshed.gateway.testbed.TEST_ZONE
import kotlin.time.Duration
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

/** Runs [check] again and again for [duration]. */
private fun repeatFor(duration: Duration, check: () -> Unit) {
    val end = System.nanoTime() + duration.inWholeNanoseconds
    while (System.nanoTime() < end) check()
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
                repeatFor(3.seconds) { testbed.call("/new/").status shouldBe 200 }
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

        test("a target that left in the lost seconds gets no requests although the restored store shows it again") {
            GatewayTestbed().use { testbed ->
                testbed.config(1)
                testbed.target("target", target, sequence = 3)
                val copy = testbed.store.copy()
                testbed.awaitReady()
                testbed.call("/safe/").status shouldBe 200
                testbed.target("target", target, draining = true, sequence = 4)
                testbed.store.remove(StoreKind.TARGETS, "target")
                await { testbed.call("/safe/").status == 503 }
                testbed.store.interrupt { testbed.store.restore(copy) }
                repeatFor(3.seconds) { testbed.call("/safe/").status shouldBe 503 }
                testbed.target("target", target, sequence = 1, startedAt = 2)
                await(CONFIG_BOUND) { testbed.call("/safe/").status == 200 }
            }
        }

        test("a target that joined in the lost seconds stays in use until it registers again") {
            GatewayTestbed().use { testbed ->
                testbed.config(1)
                val copy = testbed.store.copy()
                testbed.target("target", target, sequence = 3)
                testbed.awaitReady()
                testbed.store.interrupt { testbed.store.restore(copy) }
                Thread.sleep(1_000)
                testbed.call("/safe/").status shouldBe 200
                testbed.target("target", target, sequence = 4)
                repeatFor(3.seconds) { testbed.call("/safe/").status shouldBe 200 }
            }
        }

        test("an evacuation that was lost holds until the operator has had time to write it again") {
            GatewayTestbed().use { testbed ->
                testbed.config(1)
                testbed.target("target", target)
                val copy = testbed.store.copy()
                testbed.awaitReady()
                testbed.store.set(StoreKind.EVACUATIONS, TEST_ZONE.value, JsonObject())
                await { testbed.call("/safe/").status == 503 }
                testbed.store.interrupt { testbed.store.restore(copy) }
                Thread.sleep(2_000)
                testbed.call("/safe/").status shouldBe 503
                testbed.store.set(StoreKind.EVACUATIONS, TEST_ZONE.value, JsonObject())
                Thread.sleep(5_000)
                testbed.call("/safe/").status shouldBe 503
                testbed.store.remove(StoreKind.EVACUATIONS, TEST_ZONE.value)
                await { testbed.call("/safe/").status == 200 }
            }
        }

        test("a VM registers itself again after its registration was lost") {
            val store = InMemoryStore()
            val copy = store.copy()
            GatewayTestbed(store).use { testbed ->
                testbed.config(1)
                await { testbed.store.names(StoreKind.ENTRY_VMS) == setOf("vm-1") }
                testbed.store.interrupt { testbed.store.restore(copy) }
                testbed.store.names(StoreKind.ENTRY_VMS) shouldBe emptySet()
                await { testbed.store.names(StoreKind.ENTRY_VMS) == setOf("vm-1") }
            }
        }

        test("a VM that starts after the restore takes the newer config from a peer, not the older one of the store") {
            val peerPort = GatewayTestbed.freePort()
            GatewayTestbed(host = "127.0.0.31", peerPort = peerPort).use { first ->
                first.config(1)
                first.target("target", target)
                val copy = first.store.copy()
                first.config(2)
                first.awaitReady()
                await { first.call("/new/").status == 200 }
                first.store.interrupt { first.store.restore(copy) }
                Thread.sleep(NOTICE_MILLIS)
                val seeds = listOf(first.settings.listen.control)
                GatewayTestbed(first.store, "vm-2", seeds, "127.0.0.32", peerPort).use { second ->
                    second.awaitReady()
                    await(CONFIG_BOUND) { second.call("/new/").status == 200 }
                    first.call("/new/").status shouldBe 200
                }
            }
        }

        // Guards against a higher revision of an earlier era that counts as newer, in both directions.
        test("a VM that can't reach the restored store takes changes from a peer, and does not mislead it") {
            val peerPort = GatewayTestbed.freePort()
            val store = InMemoryStore()
            val cutOff = InMemoryStore()
            GatewayTestbed(store, host = "127.0.0.33", peerPort = peerPort).use { first ->
                first.config(1)
                first.target("target", target)
                val copy = store.copy()
                repeat(20) { first.config(1) }
                first.awaitReady()
                cutOff.isDown = true
                val seeds = listOf(first.settings.listen.control)
                GatewayTestbed(cutOff, "vm-2", seeds, "127.0.0.34", peerPort).use { second ->
                    second.awaitReady()
                    store.interrupt { store.restore(copy) }
                    first.config(2)
                    await(CONFIG_BOUND) { first.call("/new/").status == 200 }
                    await { second.call("/new/").status == 200 }
                    first.target("target", target, draining = true)
                    await { first.call("/safe/").status == 503 && second.call("/safe/").status == 503 }
                    Thread.sleep(1_000)
                    first.call("/safe/").status shouldBe 503
                }
            }
        }

        test("changes are in force in time although the store was restored twice while it was away") {
            GatewayTestbed().use { testbed ->
                testbed.config(1)
                testbed.target("target", target)
                val copy = testbed.store.copy()
                repeat(20) { testbed.config(1) }
                testbed.awaitReady()
                testbed.store.interrupt {
                    testbed.store.restore(copy)
                    repeat(30) { testbed.config(1) }
                    testbed.store.restore(copy)
                    repeat(25) { testbed.config(1) }
                }
                testbed.config(2)
                await(CONFIG_BOUND) { testbed.call("/new/").status == 200 }
            }
        }
    })
