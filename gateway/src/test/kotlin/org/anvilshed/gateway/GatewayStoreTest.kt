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

        test("a newer config is in force at once and an older one never comes back") {
            GatewayTestbed().use { bed ->
                bed.config(1)
                bed.target("target", target)
                bed.awaitReady()
                bed.call("/new/").status shouldBe 404
                bed.config(2)
                await { bed.call("/new/").status == 200 }
                bed.config(1)
                Thread.sleep(200)
                bed.call("/new/").status shouldBe 200
            }
        }

        test("a lost history is replaced by a listing, with the changes that no watch saw") {
            GatewayTestbed().use { bed ->
                bed.config(1)
                bed.target("target", target)
                bed.awaitReady()
                bed.store.isDown = true
                bed.config(2)
                bed.store.forgetHistory()
                bed.store.isDown = false
                await { bed.call("/new/").status == 200 }
            }
        }

        test("a draining target and one whose entry is gone get no more requests") {
            GatewayTestbed().use { bed ->
                bed.config(1)
                bed.target("target", target)
                bed.awaitReady()
                bed.call("/safe/").status shouldBe 200
                bed.target("target", target, draining = true)
                await { bed.call("/safe/").status == 503 }
                bed.target("target", target)
                await { bed.call("/safe/").status == 200 }
                bed.store.remove(StoreKind.TARGETS, "target")
                await { bed.call("/safe/").status == 503 }
            }
        }

        test("an unreadable entry names no target and leaves the others in use") {
            GatewayTestbed().use { bed ->
                bed.config(1)
                bed.target("target", target)
                bed.store.set(StoreKind.TARGETS, "damaged", io.vertx.core.json.JsonObject())
                bed.awaitReady()
                bed.call("/safe/").status shouldBe 200
            }
        }

        test("a VM that can't reach the store takes config and targets from a peer, also later ones") {
            val peerPort = GatewayTestbed.freePort()
            GatewayTestbed(host = "127.0.0.2", peerPort = peerPort).use { first ->
                first.config(1)
                first.target("target", target)
                first.awaitReady()
                val down = InMemoryStore().apply { isDown = true }
                val seed = first.settings.listen.control
                GatewayTestbed(down, "vm-2", listOf(seed), "127.0.0.3", peerPort).use { second ->
                    second.awaitReady()
                    second.call("/safe/").status shouldBe 200
                    first.config(2)
                    await { second.call("/new/").status == 200 }
                }
            }
        }

        test("a VM whose watch is silent learns of changes from a peer") {
            val peerPort = GatewayTestbed.freePort()
            val store = InMemoryStore()
            GatewayTestbed(store, host = "127.0.0.4", peerPort = peerPort).use { first ->
                first.config(1)
                first.target("target", target)
                first.awaitReady()
                val silent = InMemoryStore()
                silent.set(StoreKind.CONFIG, "main", io.vertx.core.json.JsonObject().put("version", 1L))
                silent.areWatchesSilent = true
                GatewayTestbed(
                    silent,
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

        test("look-ups name a VM while it takes callers and no longer once it leaves") {
            val peerPort = GatewayTestbed.freePort()
            val store = InMemoryStore()
            GatewayTestbed(store, host = "127.0.0.6", peerPort = peerPort).use { first ->
                first.config(1)
                first.target("target", target)
                first.awaitReady()
                val seeds = listOf(first.settings.listen.control)
                GatewayTestbed(store, "vm-2", seeds, "127.0.0.7", peerPort).use { second ->
                    val both: Set<SocketAddress> = setOf(first.settings.listen.callers, second.settings.listen.callers)
                    fun named() = first.onEventLoop { first.gateway.lookUp(null, null).toSet() }
                    await { named() == both }
                    second.onEventLoop { second.gateway.stop() }
                    await { named() == setOf(first.settings.listen.callers) }
                }
            }
        }
    })
