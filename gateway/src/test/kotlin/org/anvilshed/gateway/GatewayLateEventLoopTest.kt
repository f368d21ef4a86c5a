package org.anvilshed.gateway

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldNotContain
import io.kotest.matchers.shouldBe
import io.vertx.core.json.JsonObject
import org.anvilshed.gateway.store.StoreKind
import org.anvilshed.gateway.testbed.GatewayTestbed
import org.anvilshed.gateway.testbed.ScriptedTarget
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.nio.channels.SocketChannel
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.concurrent.thread

/** Target that accepts connections late: they open when the first packet is repeated, a second after it was sent. */
private class SlowlyAcceptingTarget : AutoCloseable {
    private val server = ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))
    private val fillers = List(3) {
        SocketChannel.open().apply {
            configureBlocking(false)
            connect(InetSocketAddress(server.inetAddress, server.localPort))
        }
    }

    val port: Int
        get() = server.localPort
    val receivedLines = CopyOnWriteArrayList<String>()

    fun startAccepting() {
        thread(isDaemon = true) {
            while (true) {
                val socket = runCatching { server.accept() }.getOrNull() ?: break
                thread(isDaemon = true) {
                    runCatching {
                        val input = socket.getInputStream()
                        generateSequence { ScriptedTarget.readLine(input) }.forEach(receivedLines::add)
                    }
                }
            }
        }
    }

    override fun close() {
        fillers.forEach { it.close() }
        server.close()
    }
}

class GatewayLateEventLoopTest :
    FunSpec({
        // Guards against targets that work for callers whose time limit passed while the event loop was busy.
        test("a request whose time limit has passed when its connection opens reaches no target") {
            SlowlyAcceptingTarget().use { slow ->
                GatewayTestbed().use { testbed ->
                    testbed.config(1)
                    ScriptedTarget { request, socket -> ScriptedTarget.respond(socket, request) }.use { sound ->
                        testbed.target("sound", sound)
                        testbed.awaitReady()
                        testbed.call("/safe/").status shouldBe 200
                        testbed.store.remove(StoreKind.TARGETS, "sound")
                        testbed.store.set(StoreKind.TARGETS, "slow", JsonObject().put("port", slow.port))
                        GatewayTestbed.await { testbed.onEventLoop { testbed.gateway.targetNames } == setOf("slow") }
                    }
                    testbed.connect().use { caller ->
                        val request = "GET /safe/ HTTP/1.1\r\nHost: test.example\r\nX-Id: late\r\n\r\n"
                        ScriptedTarget.write(caller, request)
                        Thread.sleep(60)
                        testbed.inBackground { Thread.sleep(2_500) }
                        slow.startAccepting()
                        testbed.readResponse(caller).status shouldBe 503
                    }
                    Thread.sleep(300)
                    slow.receivedLines.toList() shouldNotContain "X-Id: late"
                }
            }
        }
    })
