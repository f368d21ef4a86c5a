package org.anvilshed.gateway

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import org.anvilshed.gateway.testbed.GatewayTestbed
import org.anvilshed.gateway.testbed.ScriptedTarget
import java.lang.management.ManagementFactory
import java.lang.management.MemoryType
import java.net.Socket
import java.util.concurrent.Callable
import java.util.concurrent.Executors

private const val MEBIBYTE = 1024L * 1024

/** What a response that is held whole may have at most. */
private const val LARGE_BODY_BYTES = 250_000
private const val TARGETS = 40
private const val REQUESTS = 160

/** Both budgets for messages of the gateway. */
private const val MESSAGE_BUDGET = 64 * MEBIBYTE

/** Bytes that are still referenced, as of a collection; what was allocated since then does not count. */
@Suppress("ExplicitGarbageCollectionCall") // What is still referenced is known only after a collection.
private fun liveHeap(): Long {
    System.gc()
    return ManagementFactory.getMemoryPoolMXBeans().filter { it.type == MemoryType.HEAP }
        .sumOf { it.collectionUsage?.used ?: 0 }
}

/** Returns the most that was referenced at one time, as seen for a while. */
private fun peakLiveHeap(): Long = List(15) {
    Thread.sleep(50)
    liveHeap()
}.max()

/** Sends [REQUESTS] requests at once, reads the responses to their ends, and returns their status lines. */
private fun callAtOnce(testbed: GatewayTestbed, round: String): List<String> {
    val executor = Executors.newFixedThreadPool(REQUESTS)
    val calls = List(REQUESTS) { Callable { statusOf(testbed, "$round-$it") } }
    return executor.invokeAll(calls).map { it.get() }.also { executor.shutdown() }
}

private fun statusOf(testbed: GatewayTestbed, id: String): String = testbed.connect().use { socket ->
    ScriptedTarget.write(
        socket,
        "GET /safe/ HTTP/1.1\r\nHost: test.example\r\nX-Id: $id\r\nConnection: close\r\n\r\n",
    )
    val input = socket.getInputStream().buffered()
    val status = ScriptedTarget.readLine(input).orEmpty()
    val discarded = ByteArray(8_192)
    runCatching { while (input.read(discarded) >= 0) continue }
    status
}

private fun withTargets(respond: (Socket, String) -> Unit, test: (GatewayTestbed, List<ScriptedTarget>) -> Unit) {
    val targets = List(TARGETS) { ScriptedTarget { request, socket -> respond(socket, request.id) } }
    GatewayTestbed().use { testbed ->
        testbed.config(1)
        targets.forEachIndexed { index, target -> testbed.target("target-$index", target) }
        testbed.awaitReady()
        test(testbed, targets)
    }
    targets.forEach { it.close() }
}

/** Writes [piece] again and again, until the reader closes the connection. */
private fun writeWithoutEnd(socket: Socket, start: String, piece: String) {
    runCatching {
        ScriptedTarget.write(socket, start)
        while (true) ScriptedTarget.write(socket, piece)
    }
    socket.close()
}

class MessageMemoryTest :
    FunSpec({
        // Guards against a heap that fills with the last messages of pooled connections.
        test("idle connections to targets keep nothing of the messages that they carried") {
            val body = "x".repeat(LARGE_BODY_BYTES)
            withTargets({ socket, id ->
                Thread.sleep(100)
                val head = "HTTP/1.1 200 OK\r\nX-Id: $id\r\nContent-Length: $LARGE_BODY_BYTES\r\n\r\n"
                ScriptedTarget.write(socket, head + body)
            }) { testbed, _ ->
                val before = liveHeap()
                callAtOnce(testbed, "large").toSet() shouldBe setOf("HTTP/1.1 200 OK")
                liveHeap() - before shouldBeLessThan 8 * MEBIBYTE
            }
        }

        val endless = mapOf(
            "a header" to ("HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Long: " to "x".repeat(8_192)),
            "headers" to ("HTTP/1.1 200 OK\r\nX-Id: ID\r\n" to "X-More: x\r\n".repeat(800)),
            "a status line" to ("HTTP/1.1 200 " to "x".repeat(8_192)),
            "bytes that are no response" to ("" to "\u0001".repeat(8_192)),
            "interim responses" to ("" to "HTTP/1.1 100 Continue\r\n\r\n".repeat(300)),
            "a body without length" to ("HTTP/1.1 200 OK\r\nX-Id: ID\r\n\r\n" to "x".repeat(8_192)),
            "chunks" to (
                "HTTP/1.1 200 OK\r\nX-Id: ID\r\nTransfer-Encoding: chunked\r\n\r\n" to
                    "2000\r\n${"x".repeat(8_192)}\r\n"
                ),
            "a chunk extension" to (
                "HTTP/1.1 200 OK\r\nX-Id: ID\r\nTransfer-Encoding: chunked\r\n\r\n5;" to "x".repeat(8_192)
                ),
            "trailers" to (
                "HTTP/1.1 200 OK\r\nX-Id: ID\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n" to "X-More: x\r\n".repeat(800)
                ),
        )

        // Guards against a process that keeps all that faulty targets send, and ends with the requests of all callers.
        for ((name, bytes) in endless) {
            test("$name without end from all targets at once stays within the message budgets") {
                val (start, piece) = bytes
                withTargets({ socket, id -> writeWithoutEnd(socket, start.replace("ID", id), piece) }) { testbed, _ ->
                    val before = liveHeap()
                    val caller = Thread { callAtOnce(testbed, "endless") }.apply { start() }
                    peakLiveHeap() - before shouldBeLessThan MESSAGE_BUDGET
                    caller.join()
                    liveHeap() - before shouldBeLessThan 8 * MEBIBYTE
                }
            }
        }

        test("a caller that reads nothing of a response without end does not make the gateway hold it") {
            val start = "HTTP/1.1 200 OK\r\nX-Id: ID\r\n\r\n"
            withTargets({ socket, id -> writeWithoutEnd(socket, start.replace("ID", id), "x".repeat(8_192)) }) {
                    testbed,
                    _,
                ->
                val before = liveHeap()
                val callers = List(REQUESTS) { number ->
                    testbed.connect().also {
                        val head = "GET /safe/ HTTP/1.1\r\nHost: test.example\r\nX-Id: slow-$number\r\n\r\n"
                        ScriptedTarget.write(it, head)
                    }
                }
                peakLiveHeap() - before shouldBeLessThan MESSAGE_BUDGET
                callers.forEach { it.close() }
            }
        }

        test("other requests are served while faulty targets send without end") {
            val good = "x".repeat(100)
            withTargets({ socket, id ->
                if (id.startsWith("endless")) {
                    writeWithoutEnd(socket, "HTTP/1.1 200 OK\r\nX-Id: $id\r\n\r\n", "x".repeat(8_192))
                } else {
                    val head = "HTTP/1.1 200 OK\r\nX-Id: $id\r\nContent-Length: ${good.length}\r\n\r\n"
                    ScriptedTarget.write(socket, head + good)
                }
            }) { testbed, _ ->
                val callers = List(TARGETS) { number ->
                    Thread { statusOf(testbed, "endless-$number") }.apply { start() }
                }
                Thread.sleep(300)
                List(20) { statusOf(testbed, "good-$it") }.toSet() shouldBe setOf("HTTP/1.1 200 OK")
                callers.forEach { it.join() }
            }
        }
    })
