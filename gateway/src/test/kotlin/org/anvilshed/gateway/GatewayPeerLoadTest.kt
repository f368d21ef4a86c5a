package org.anvilshed.gateway

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.anvilshed.gateway.testbed.GatewayTestbed
import org.anvilshed.gateway.testbed.GatewayTestbed.Companion.await
import org.anvilshed.gateway.testbed.InMemoryStore
import org.anvilshed.gateway.testbed.ScriptedTarget
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.concurrent.thread

class GatewayPeerLoadTest :
    FunSpec({
        // Guards against announced load that only the next announcement of another VM replaces.
        test("the load of a VM that was killed is no longer counted, although no other VM announces anything") {
            val target = ScriptedTarget { request, socket ->
                if (request.id.startsWith("hanging")) Thread.sleep(60_000)
                ScriptedTarget.respond(socket, request)
            }
            val store = InMemoryStore()
            val peerPort = GatewayTestbed.freePort()
            GatewayTestbed(store, host = "127.0.0.41", peerPort = peerPort).use { first ->
                first.config(1)
                first.target("target", target)
                first.awaitReady()
                val second = GatewayTestbed(
                    store,
                    "vm-2",
                    listOf(first.settings.listen.control),
                    "127.0.0.42",
                    peerPort,
                )
                second.awaitReady()
                await { first.onEventLoop { first.gateway.lookUp(null, null) }.size == 2 }
                val isKilled = AtomicBoolean()
                repeat(8) {
                    thread(isDaemon = true) {
                        while (!isKilled.get()) runCatching { second.call("/safe/", id = "hanging-$it") }
                    }
                }
                await { first.call("/safe/", deadline = 50).status == 503 }
                isKilled.set(true)
                second.close()
                await { first.call("/safe/", deadline = 500).status == 200 }
                first.call("/safe/").status shouldBe 200
            }
            target.close()
        }
    })
