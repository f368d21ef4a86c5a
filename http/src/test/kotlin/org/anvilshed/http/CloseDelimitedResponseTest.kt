package org.anvilshed.http

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.assertions.throwables.shouldThrow
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import io.vertx.core.buffer.Buffer
import java.net.Socket
import java.util.concurrent.CountDownLatch
import java.util.concurrent.ExecutionException
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.seconds

private const val HEAD = "HTTP/1.1 200 OK\r\nServer: x\r\n\r\n"
private const val BODY = "whole body"

/** More than the buffers of a connection hold, so that a part of it is unsent while the server does not read. */
private val UPLOAD = Buffer.buffer(ByteArray(8 * 1024 * 1024))
private val NO_UPLOAD = Buffer.buffer()

/** Leaves the client time to read what was written before, and to find that it can't send more. */
private fun pause() = Thread.sleep(100)

private fun Socket.awaitClose() {
    runCatching { getInputStream().readAllBytes() }
}

// Guards against the beginning of a response that is taken for the whole, as only its connection shows where it ends.
class CloseDelimitedResponseTest :
    FunSpec({
        for ((what, upload) in mapOf("after a request" to NO_UPLOAD, "during an upload" to UPLOAD)) {
            test("a response that is reset $what is incomplete, and its connection is not used again") {
                repeat(20) {
                    withServer(
                        respond = { socket, path ->
                            if (path == "/upload") {
                                socket.send(HEAD + BODY.take(5))
                                pause()
                                socket.reset()
                            } else {
                                socket.send("HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n")
                            }
                        },
                    ) { client, server ->
                        shouldThrow<ExecutionException> { client.upload(upload).get() }
                        // A request may still be given the closing connection, and then fails unsent.
                        eventually(TIMEOUT_SECONDS.seconds) { client.call("/second").get() shouldBe 500 }
                        server.received.shouldContainExactly("1 /upload", "2 /second")
                    }
                }
            }
        }

        test("a response whose connection the client itself closes is incomplete") {
            val isClosed = CountDownLatch(1)
            withServer(
                respond = { socket, _ ->
                    socket.send(HEAD + BODY.take(5))
                    isClosed.await(TIMEOUT_SECONDS, TimeUnit.SECONDS)
                },
            ) { client, _ ->
                val body = client.open("/").compose { request ->
                    request.send().compose { response ->
                        response.body().also { response.handler { request.connection().close() } }
                    }
                }
                shouldThrow<ExecutionException> { body.get() }
                isClosed.countDown()
            }
        }

        // RFC 9112, section 9.5: a server may respond and close its side before it has read the request.
        test("a response that ends orderly is complete, also before the upload was read") {
            for (upload in listOf(NO_UPLOAD, UPLOAD)) {
                withServer(
                    respond = { socket, _ ->
                        socket.send(HEAD + BODY)
                        socket.shutdownOutput()
                        pause()
                        socket.awaitClose()
                    },
                ) { client, _ -> withClue("${upload.length()}") { client.upload(upload).get() shouldBe BODY } }
            }
        }

        test("a response with a length or chunks that is whole before a reset is complete") {
            val framings = mapOf(
                "length" to "HTTP/1.1 200 OK\r\nContent-Length: ${BODY.length}\r\n\r\n$BODY",
                "chunks" to "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\na\r\n$BODY\r\n0\r\n\r\n",
            )
            for ((framing, response) in framings) {
                for (upload in listOf(NO_UPLOAD, UPLOAD)) {
                    withServer(
                        respond = { socket, _ ->
                            socket.send(response)
                            pause()
                            socket.reset()
                        },
                    ) { client, _ ->
                        withClue("$framing, ${upload.length()}") { client.upload(upload).get() shouldBe BODY }
                    }
                }
            }
        }

        test("a response with a length or chunks that ends early is incomplete, also if the end is orderly") {
            val heads = listOf("Content-Length: 11\r\n\r\n$BODY", "Transfer-Encoding: chunked\r\n\r\na\r\n$BODY\r\n")
            for (head in heads) {
                withServer(
                    respond = { socket, _ ->
                        socket.send("HTTP/1.1 200 OK\r\n$head")
                        socket.close()
                    },
                ) { client, _ -> shouldThrow<ExecutionException> { client.upload(NO_UPLOAD).get() } }
            }
        }

        test("a connection that the server closes while it is idle is closed and not used again") {
            withServer(
                respond = { socket, path ->
                    socket.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
                    if (path == "/first") socket.shutdownOutput()
                },
            ) { client, server ->
                client.call("/first").get() shouldBe 200
                pause()
                client.call("/second").get() shouldBe 200
                server.received.shouldContainExactly("1 /first", "2 /second")
                client.strayBytes.shouldBeEmpty()
            }
        }
    })
