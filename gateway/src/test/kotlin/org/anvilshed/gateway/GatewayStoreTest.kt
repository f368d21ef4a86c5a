package org.anvilshed.gateway

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.anvilshed.core.SocketAddress
import org.anvilshed.gateway.store.StoreKind
import org.anvilshed.gateway.testbed.GatewayTestbed
import org.anvilshed.gateway.testbed.GatewayTestbed.Companion.await
import org.anvilshed.gateway.testbed.InMemoryStore
import org.anvilshed.gateway.testbed.ScriptedTarget

class GatewayStoreTest :
    FunSpec({
        val target = ScriptedTarget { request, socket -> ScriptedTarget.respond(socket, request) }
        afterSpec { target.close() }

        test("a newer config becomes active at once and is never replaced by an older one") {
            GatewayTestbed().use { testbed ->
                testbed.config(1)
                testbed.target("target", target)
                testbed.awaitReady()
                testbed.call("/new/").status shouldBe 404
                testbed.config(2)
                await { testbed.call("/new/").status == 200 }
                testbed.config(1)
                Thread.sleep(200)
                testbed.call("/new/").status shouldBe 200
            }
        }

        test("when the store has lost its history, a listing brings the changes that no watch delivered") {
            GatewayTestbed().use { testbed ->
                testbed.config(1)
                testbed.target("target", target)
                testbed.awaitReady()
                testbed.store.isDown = true
                testbed.config(2)
                testbed.store.forgetHistory()
                testbed.store.isDown = false
                await { testbed.call("/new/").status == 200 }
            }
        }

        // Guards against a VM that does not hear from the store for the rest of its life.
        test("changes of the store come into effect after each kind of call failed in an unexpected way") {
            GatewayTestbed().use { testbed ->
                testbed.config(1)
                testbed.target("target", target)
                testbed.awaitReady()
                repeat(8) {
                    testbed.store.nextFault = IllegalStateException("fault $it")
                    // Ends a watch of each kind, so that new calls are made.
                    testbed.store.silenceOpenConnections()
                    await { testbed.store.nextFault == null }
                }
                testbed.config(2)
                await { testbed.call("/new/").status == 200 }
                testbed.target("target", target, draining = true)
                await { testbed.call("/new/").status == 503 }
            }
        }

        test("a draining target and a target whose entry was removed get no more requests") {
            GatewayTestbed().use { testbed ->
                testbed.config(1)
                testbed.target("target", target)
                testbed.awaitReady()
                testbed.call("/safe/").status shouldBe 200
                testbed.target("target", target, draining = true)
                await { testbed.call("/safe/").status == 503 }
                testbed.target("target", target)
                await { testbed.call("/safe/").status == 200 }
                testbed.store.remove(StoreKind.TARGETS, "target")
                await { testbed.call("/safe/").status == 503 }
            }
        }

        test("an entry that can't be decoded is skipped, and the other targets stay in use") {
            GatewayTestbed().use { testbed ->
                testbed.config(1)
                testbed.target("target", target)
                testbed.store.set(StoreKind.TARGETS, "damaged", io.vertx.core.json.JsonObject())
                testbed.awaitReady()
                testbed.call("/safe/").status shouldBe 200
            }
        }

        test("a VM that can't reach the store gets config, targets and later changes from a peer") {
            val peerPort = GatewayTestbed.freePort()
            GatewayTestbed(host = "127.0.0.2", peerPort = peerPort).use { first ->
                first.config(1)
                first.target("target", target)
                first.awaitReady()
                val unreachable = InMemoryStore().apply { isDown = true }
                val seed = first.settings.listen.control
                GatewayTestbed(unreachable, "vm-2", listOf(seed), "127.0.0.3", peerPort).use { second ->
                    second.awaitReady()
                    second.call("/safe/").status shouldBe 200
                    first.config(2)
                    await { second.call("/new/").status == 200 }
                }
            }
        }

        test("a VM whose watch is stalled gets changes from a peer") {
            val peerPort = GatewayTestbed.freePort()
            val store = InMemoryStore()
            GatewayTestbed(store, host = "127.0.0.4", peerPort = peerPort).use { first ->
                first.config(1)
                first.target("target", target)
                first.awaitReady()
                val stalled = InMemoryStore()
                stalled.set(StoreKind.CONFIG, "main", io.vertx.core.json.JsonObject().put("version", 1L))
                stalled.areWatchesStalled = true
                GatewayTestbed(
                    stalled,
                    "vm-2",
                    listOf(first.settings.listen.control),
                    "127.0.0.5",
                    peerPort,
                ).use { second ->
                    second.awaitReady()
                    first.config(2)
                    await { second.call("/new/").status == 200 }
                }
            }
        }

        // Guards against watches that wait for changes on connections that deliver nothing any more.
        test("a target that leaves gets no more requests although the connections to the store have gone silent") {
            GatewayTestbed().use { testbed ->
                testbed.config(1)
                testbed.target("target", target)
                testbed.awaitReady()
                Thread.sleep(500)
                testbed.store.silenceOpenConnections()
                testbed.target("target", target, draining = true)
                Thread.sleep(testbed.settings.changeLimit.inWholeMilliseconds)
                testbed.call("/safe/").status shouldBe 503
            }
        }

        test("while the store is quiet, connections are not renewed") {
            GatewayTestbed().use { testbed ->
                testbed.config(1)
                testbed.target("target", target)
                testbed.awaitReady()
                Thread.sleep(1_000)
                val renewals = testbed.store.renewals
                Thread.sleep(3_000)
                testbed.store.renewals shouldBe renewals
            }
        }

        test("a store that responds to nothing is lost, and its return is noticed within the change limit") {
            GatewayTestbed().use { testbed ->
                testbed.config(1)
                testbed.target("target", target)
                testbed.awaitReady()
                testbed.store.isDown = true
                Thread.sleep(2_000)
                testbed.call("/safe/").status shouldBe 200
                testbed.target("target", target, draining = true)
                testbed.store.isDown = false
                Thread.sleep(testbed.settings.changeLimit.inWholeMilliseconds)
                testbed.call("/safe/").status shouldBe 503
            }
        }

        test("lookups return a VM while it accepts callers and no longer once it stops") {
            val peerPort = GatewayTestbed.freePort()
            val store = InMemoryStore()
            GatewayTestbed(store, host = "127.0.0.6", peerPort = peerPort).use { first ->
                first.config(1)
                first.target("target", target)
                first.awaitReady()
                val seeds = listOf(first.settings.listen.control)
                GatewayTestbed(store, "vm-2", seeds, "127.0.0.7", peerPort).use { second ->
                    val both: Set<SocketAddress> = setOf(first.settings.listen.callers, second.settings.listen.callers)
                    fun lookedUp() = first.onEventLoop { first.gateway.lookUp(null, null).toSet() }
                    await { lookedUp() == both }
                    second.onEventLoop { second.gateway.stop() }
                    await { lookedUp() == setOf(first.settings.listen.callers) }
                }
            }
        }
    })
