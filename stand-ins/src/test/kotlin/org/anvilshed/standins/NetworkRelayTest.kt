package org.anvilshed.standins

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.longs.shouldBeGreaterThanOrEqual
import io.kotest.matchers.shouldBe
import java.io.IOException
import java.net.ConnectException
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.net.SocketTimeoutException
import kotlin.concurrent.thread
import kotlin.time.Duration.Companion.seconds
import kotlin.time.measureTime

private fun freePort(): Int = ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { it.localPort }

class NetworkRelayTest :
    FunSpec({
        val vertx = singleLoopVertx()
        afterSpec { vertx.close() }

        /** Starts a server that sends back all bytes that it receives. */
        fun startEcho(): ServerSocket {
            val server = ServerSocket(0, 10, InetAddress.getByName("127.0.0.1"))
            thread(isDaemon = true) {
                runCatching {
                    while (true) {
                        val socket = server.accept()
                        thread(isDaemon = true) {
                            runCatching { socket.use { it.getInputStream().transferTo(it.getOutputStream()) } }
                        }
                    }
                }
            }
            return server
        }

        class Started(val control: HttpCalls, val port: Int) {
            fun open() = Socket("127.0.0.1", port).apply { soTimeout = 20_000 }
        }

        suspend fun startRelay(destination: Int): Started {
            val port = freePort()
            val relay = NetworkRelay(vertx, listOf(RelaySpec("l", "127.0.0.1:$port", "127.0.0.1:$destination")))
            return Started(callsTo(relay.start("127.0.0.1", 0).actualPort()), port)
        }

        fun Socket.echo(byte: Int): Int {
            getOutputStream().write(byte)
            return getInputStream().read()
        }

        test("bytes are delayed in both directions") {
            startEcho().use { echo ->
                val relay = startRelay(echo.localPort)
                relay.control.call("POST", "/control", """{"delay_ms":40}""")
                relay.open().use { socket ->
                    measureTime { socket.echo(7) shouldBe 7 }.inWholeMilliseconds shouldBeGreaterThanOrEqual 80
                }
            }
        }

        test("a partition holds bytes back but keeps connections open, and its end delivers the bytes") {
            startEcho().use { echo ->
                val relay = startRelay(echo.localPort)
                relay.open().use { socket ->
                    socket.echo(1) shouldBe 1
                    relay.control.call("POST", "/control", """{"cut":true}""")
                    val late = relay.open()
                    socket.soTimeout = 200
                    shouldThrow<SocketTimeoutException> { socket.echo(2) }
                    relay.control.call("POST", "/control", """{"cut":false}""")
                    socket.soTimeout = 20_000
                    socket.getInputStream().read() shouldBe 2
                    late.use { it.echo(3) shouldBe 3 }
                }
            }
        }

        test("a partition of one pair of VMs does not affect other dialing VMs") {
            startEcho().use { echo ->
                val relay = startRelay(echo.localPort)
                relay.control.call("POST", "/control", """{"pairs":["l>l"],"cut":true}""")
                relay.open().use { it.echo(1) shouldBe 1 }
                relay.open().use { socket ->
                    // A CBOR text string of one character, "l".
                    socket.getOutputStream().write(byteArrayOf(0x61, 'l'.code.toByte()))
                    socket.soTimeout = 200
                    shouldThrow<SocketTimeoutException> { socket.getInputStream().read() }
                }
            }
        }

        test("if the destination refuses, the accepted connection is reset and later connections are refused") {
            val relay = startRelay(freePort())
            relay.open().use { socket -> shouldThrow<IOException> { socket.echo(1) } }
            // Only a refused connection, not a reset one, tells a peer that the process has ended.
            eventually(10.seconds) { shouldThrow<ConnectException> { relay.open() } }
        }
    })
