package org.anvilshed.cli

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import kotlin.concurrent.thread
import kotlin.time.Duration.Companion.seconds

/** Returns the result of a request to a VM that responds by [respond]. */
private fun get(respond: (Socket) -> Unit): VmResult =
    ServerSocket(0, 50, InetAddress.getByName("127.0.0.1")).use { server ->
        thread(isDaemon = true) {
            server.accept().use { socket ->
                val input = socket.getInputStream().bufferedReader()
                generateSequence { input.readLine() }.takeWhile { it.isNotEmpty() }.count()
                respond(socket)
            }
        }
        SystemEnvironment.get("http://127.0.0.1:${server.localPort}/v1/status", emptyMap(), 10.seconds)
    }

private fun get(response: String): VmResult =
    get { socket -> socket.getOutputStream().write(response.toByteArray(Charsets.ISO_8859_1)) }

class SystemEnvironmentTest :
    FunSpec({
        test("a response of a VM is returned, with a length or without") {
            for ((head, status) in mapOf("404 Not Found\r\nContent-Length: 2" to 404, "200 OK" to 200)) {
                val response = get("HTTP/1.1 $head\r\n\r\nok").shouldBeInstanceOf<VmResult.Response>()
                response.status shouldBe status
                response.body shouldBe "ok"
            }
        }

        test("an invalid response is none") {
            val heads = listOf("000 OK", "600 OK", "200 OK\r\nServer: x\r\n X-Odd: v", "200 OK\r\nX Odd: v") +
                listOf("200 OK\r\nX-Odd : v", "200 OK\r\nServer: x\r\n Content-Length: 1")
            for (head in heads) {
                withClue(head) {
                    get("HTTP/1.1 $head\r\nContent-Length: 2\r\n\r\nok").shouldBeInstanceOf<VmResult.Unreachable>()
                }
            }
        }

        test("a response without a length that is reset is none") {
            val result = get { socket ->
                socket.getOutputStream().write("HTTP/1.1 200 OK\r\n\r\nbegin".toByteArray())
                Thread.sleep(50)
                socket.setSoLinger(true, 0)
            }
            result.shouldBeInstanceOf<VmResult.Unreachable>()
        }
    })
