package org.anvilshed.http

import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import java.util.concurrent.ExecutionException
import java.util.concurrent.TimeUnit

private fun response(status: String) = "HTTP/1.1 $status\r\nServer: x\r\nContent-Length: 2\r\n\r\nok"

private fun awaitStrayBytes(client: StrictClient) {
    val end = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS)
    while (client.strayBytes.isEmpty()) {
        check(System.nanoTime() < end) { "no stray bytes were seen" }
        Thread.sleep(1)
    }
}

// Guards against the status of bytes that a server wrote outside a response, on connections of a pool.
class StrictClientsTest :
    FunSpec({
        test("the first response on a connection is checked") {
            withServer(respond = { socket, _ -> socket.send(response("200 OHTTP/1.1 500 Error")) }) { client, _ ->
                shouldThrow<ExecutionException> { client.call("/first").get() }
            }
        }

        test("bytes that a server writes before any request are no part of a response") {
            val status = response("500 Error")
            repeat(50) {
                withServer({ it.send("HTTP/1.1 200 O") }, { socket, _ -> socket.send(status) }) { client, _ ->
                    val result = runCatching { client.call("/first").get() }
                    listOfNotNull(result.getOrNull()).filter { it != 500 }.shouldBeEmpty()
                }
            }
        }

        test("a connection with bytes behind a response is not used again") {
            withServer(
                respond = { socket, path ->
                    socket.send(if (path == "/first") response("200 OK") + "HTTP/1.1 200 O" else response("500 Error"))
                },
            ) { client, server ->
                client.call("/first").get() shouldBe 200
                client.call("/second").get() shouldBe 500
                server.received.shouldContainExactly("1 /first", "2 /second")
                client.strayBytes.shouldContainExactly("${server.port} HTTP/1.1 200 O")
            }
        }

        test("a connection on which bytes arrive while it is idle is not used again") {
            withServer(
                respond = { socket, path ->
                    socket.send(response(if (path == "/first") "200 OK" else "500 Error"))
                    if (path == "/first") {
                        Thread.sleep(30)
                        socket.send("HTTP/1.1 200 O")
                    }
                },
            ) { client, server ->
                client.call("/first").get() shouldBe 200
                awaitStrayBytes(client)
                client.call("/second").get() shouldBe 500
                server.received.shouldContainExactly("1 /first", "2 /second")
            }
        }

        test("a request that waits for a connection with stray bytes is sent once, on another connection") {
            withServer(
                respond = { socket, path ->
                    Thread.sleep(30)
                    socket.send(if (path == "/first") response("200 OK") + "HTTP/1.1 200 O" else response("500 Error"))
                },
            ) { client, server ->
                val first = client.call("/first")
                val waiting = listOf(client.call("/second"), client.call("/third"))
                first.get() shouldBe 200
                waiting.forEach { it.get() shouldBe 500 }
                server.received.shouldContainExactly("1 /first", "2 /second", "2 /third")
            }
        }

        test("a request on a connection that got stray bytes after it was obtained is not sent and fails") {
            withServer(
                onAccept = {
                    Thread.sleep(30)
                    it.send("HTTP/1.1 200 O")
                },
                respond = { socket, _ -> socket.send(response("500 Error")) },
            ) { client, server ->
                val request = client.open("/first").get()
                awaitStrayBytes(client)
                shouldThrow<ExecutionException> { request.send().get() }
                server.received.shouldBeEmpty()
            }
        }
    })
