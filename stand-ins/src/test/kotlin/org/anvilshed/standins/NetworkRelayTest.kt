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

        /** Accepts connections and sends back what it receives. */
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
            val relay = NetworkRelay(vertx, listOf(RelayLink("l", "127.0.0.1:$port", "127.0.0.1:$destination")))
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

        test("a cut stops bytes but not connections, and healing delivers them") {
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

        test("a cut of one pair leaves the other dialing VMs connected") {
            startEcho().use { echo ->
                val relay = startRelay(echo.localPort)
                relay.control.call("POST", "/control", """{"pairs":["l>l"],"cut":true}""")
                relay.open().use { it.echo(1) shouldBe 1 }
                relay.open().use { socket ->
                    // A CBOR text of one character, "l".
                    socket.getOutputStream().write(byteArrayOf(0x61, 'l'.code.toByte()))
                    socket.soTimeout = 200
                    shouldThrow<SocketTimeoutException> { socket.getInputStream().read() }
                }
            }
        }

        test("a refusing destination resets the accepted connection") {
            val relay = startRelay(freePort())
            relay.open().use { socket -> shouldThrow<IOException> { socket.echo(1) } }
            // Peers take a refused connection, and not a reset one, as evidence of an ended process.
            eventually(10.seconds) { shouldThrow<ConnectException> { relay.open() } }
        }
    })
