package org.anvilshed.gateway

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.anvilshed.gateway.store.StoreKind
import org.anvilshed.gateway.testbed.GatewayTestbed
import org.anvilshed.gateway.testbed.GatewayTestbed.Companion.await
import org.anvilshed.gateway.testbed.InMemoryStore
import org.anvilshed.gateway.testbed.ScriptedTarget
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CountDownLatch
import kotlin.concurrent.thread

/** Time after which a target that has left must get no more requests, in milliseconds. */
private const val DRAIN_BOUND_MILLIS = 2_500L

private fun startThread(action: Runnable) {
    thread(isDaemon = true) { action.run() }
}

class GatewayLeavingTargetTest :
    FunSpec({
        val target = ScriptedTarget { request, socket -> ScriptedTarget.respond(socket, request) }
        val other = ScriptedTarget { request, socket -> ScriptedTarget.respond(socket, request) }
        afterSpec {
            target.close()
            other.close()
        }

        test("a target that leaves while a VM cannot reach the store for a moment gets no requests after the bound") {
            GatewayTestbed().use { testbed ->
                testbed.config(1)
                testbed.target("target", target)
                testbed.awaitReady()
                testbed.call("/safe/").status shouldBe 200
                testbed.store.isDown = true
                Thread.sleep(200)
                testbed.store.remove(StoreKind.TARGETS, "target")
                val left = System.nanoTime()
                Thread.sleep(600)
                testbed.store.isDown = false
                Thread.sleep(DRAIN_BOUND_MILLIS - (System.nanoTime() - left) / 1_000_000)
                testbed.call("/safe/").status shouldBe 503
            }
        }

        test("a target that leaves shortly after a VM could not reach the store gets no requests after the bound") {
            GatewayTestbed().use { testbed ->
                testbed.config(1)
                testbed.target("target", target)
                testbed.awaitReady()
                repeat(3) {
                    testbed.target("target", target)
                    await { testbed.call("/safe/").status == 200 }
                    testbed.store.isDown = true
                    Thread.sleep(300)
                    testbed.store.isDown = false
                    Thread.sleep(1_000)
                    // The event of the removal waits for the pause after this one.
                    testbed.target("other", other, draining = true)
                    Thread.sleep(20)
                    testbed.store.remove(StoreKind.TARGETS, "target")
                    Thread.sleep(DRAIN_BOUND_MILLIS)
                    testbed.call("/safe/").status shouldBe 503
                }
            }
        }

        test("a VM that cannot reach the store sends none after the bound to a target that left by a peer's copy") {
            val peerPort = GatewayTestbed.freePort()
            GatewayTestbed(host = "127.0.0.41", peerPort = peerPort).use { first ->
                first.config(1)
                first.target("target", target)
                first.awaitReady()
                val unreachable = InMemoryStore().apply { isDown = true }
                val seeds = listOf(first.settings.listen.control)
                GatewayTestbed(unreachable, "vm-2", seeds, "127.0.0.42", peerPort).use { second ->
                    second.awaitReady()
                    second.call("/safe/").status shouldBe 200
                    // Longer than an outage in which entries expire; the store responds to the peer all the time.
                    repeat(7) {
                        first.config(1)
                        Thread.sleep(500)
                    }
                    first.store.remove(StoreKind.TARGETS, "target")
                    Thread.sleep(DRAIN_BOUND_MILLIS)
                    second.call("/safe/").status shouldBe 503
                }
            }
        }

        // Guards against news of a target that count only if they come from the store.
        test("a target that says in a response that it leaves gets no more requests from this VM and its peers") {
            val leaving = ScriptedTarget { request, socket ->
                ScriptedTarget.respond(socket, request, extra = "X-Leaving: 1\r\n")
            }
            val peerPort = GatewayTestbed.freePort()
            GatewayTestbed(host = "127.0.0.43", peerPort = peerPort).use { first ->
                first.config(1)
                first.target("leaving", leaving)
                val seeds = listOf(first.settings.listen.control)
                GatewayTestbed(first.store, "vm-2", seeds, "127.0.0.44", peerPort).use { second ->
                    first.awaitReady()
                    second.awaitReady()
                    first.store.isDown = true
                    first.call("/safe/").status shouldBe 200
                    Thread.sleep(DRAIN_BOUND_MILLIS)
                    first.call("/safe/").status shouldBe 503
                    second.call("/safe/").status shouldBe 503
                    // An older entry that is written once more says nothing new about this run of the target.
                    first.store.isDown = false
                    first.target("leaving", leaving)
                    Thread.sleep(1_000)
                    first.call("/safe/").status shouldBe 503
                    leaving.received.size shouldBe 1
                }
            }
            leaving.close()
        }

        test("a target that says that it leaves after its entry was removed gets no requests when the entry returns") {
            val released = CountDownLatch(1)
            val leaving = ScriptedTarget { request, socket ->
                released.await()
                ScriptedTarget.respond(socket, request, extra = "X-Leaving: 1\r\n")
            }
            GatewayTestbed().use { testbed ->
                testbed.config(1)
                testbed.target("target", leaving)
                testbed.awaitReady()
                val call = CompletableFuture.supplyAsync { testbed.call("/safe/").status }
                await { leaving.received.size == 1 }
                testbed.store.remove(StoreKind.TARGETS, "target")
                Thread.sleep(300)
                released.countDown()
                call.get() shouldBe 200
                testbed.target("target", leaving)
                Thread.sleep(1_000)
                testbed.call("/safe/").status shouldBe 503
                leaving.received.size shouldBe 1
            }
            leaving.close()
        }

        for (news in listOf("entry", "removal", "response")) {
            test("a request that waits in the queue does not reach a target that leaves meanwhile, by its $news") {
                val released = CountDownLatch(1)
                val busy = ScriptedTarget { request, socket ->
                    if (request.id != "first") released.await()
                    val extra = if (news == "response" && request.id == "first") "X-Leaving: 1\r\n" else ""
                    // The first request holds its slot until the others wait.
                    if (request.id == "first") Thread.sleep(150)
                    ScriptedTarget.respond(socket, request, extra = extra)
                }
                GatewayTestbed().use { testbed ->
                    testbed.config(1)
                    testbed.target("target", busy)
                    testbed.awaitReady()
                    // The feed pauses after the entry above, and would learn of the next one late.
                    Thread.sleep(400)
                    val calls = (listOf("first") + List(9) { "id-$it" }).map { id ->
                        CompletableFuture.supplyAsync({ testbed.call("/safe/", id).status }, ::startThread)
                    }
                    await { busy.received.size >= 4 }
                    when (news) {
                        "entry" -> testbed.target("target", busy, draining = true)
                        "removal" -> testbed.store.remove(StoreKind.TARGETS, "target")
                        else -> calls.first().get()
                    }
                    Thread.sleep(200)
                    val sent = busy.received.size
                    released.countDown()
                    val statuses = calls.map { it.get() }
                    busy.received.size shouldBe sent
                    statuses.count { it == 200 } shouldBe sent
                    statuses.toSet() shouldBe setOf(200, 503)
                }
                busy.close()
            }
        }

        test("a retry does not reach a target that began to leave while the first target had the request") {
            val released = CountDownLatch(1)
            val failing = ScriptedTarget { _, socket ->
                released.await()
                ScriptedTarget.reset(socket)
            }
            val before = target.received.size
            GatewayTestbed().use { testbed ->
                testbed.config(1)
                testbed.target("failing", failing)
                testbed.awaitReady()
                val call = CompletableFuture.supplyAsync { testbed.call("/safe/").status }
                await { failing.received.size == 1 }
                testbed.target("target", target)
                Thread.sleep(100)
                testbed.target("target", target, draining = true)
                Thread.sleep(400)
                released.countDown()
                call.get() shouldBe 502
                target.received.size shouldBe before
            }
            failing.close()
        }

        test("a response that closes its connection is no news of its target, which gets further requests") {
            val closing = ScriptedTarget { request, socket ->
                ScriptedTarget.respond(socket, request, extra = "Connection: close\r\n")
                socket.close()
            }
            GatewayTestbed().use { testbed ->
                testbed.config(1)
                testbed.target("closing", closing)
                testbed.awaitReady()
                repeat(5) { testbed.call("/safe/", "id-$it").status shouldBe 200 }
            }
            closing.close()
        }
    })
