package org.anvilshed.gateway

import ch.qos.logback.classic.Level
import ch.qos.logback.classic.Logger
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.core.read.ListAppender
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import org.anvilshed.gateway.testbed.GatewayTestbed
import org.anvilshed.gateway.testbed.ReceivedRequest
import org.anvilshed.gateway.testbed.ScriptedTarget
import org.anvilshed.gateway.testbed.withTargets
import org.slf4j.LoggerFactory
import java.net.Socket
import java.util.concurrent.CopyOnWriteArraySet
import java.util.concurrent.CountDownLatch
import java.util.concurrent.Semaphore
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong
import kotlin.concurrent.thread

private val LARGE = "x".repeat(1_000_000)

private fun head(request: ReceivedRequest, length: Int? = null) =
    "HTTP/1.1 200 OK\r\nX-Id: ${request.id}\r\n${length?.let { "Content-Length: $it\r\n" }.orEmpty()}\r\n"

private fun get(id: String, deadline: Int = 2_000) =
    "GET /safe/ HTTP/1.1\r\nHost: test.example\r\nX-Id: $id\r\nX-Deadline: $deadline\r\n\r\n"

/** Writes the first half of a large response. */
private fun writeHalf(request: ReceivedRequest, socket: Socket) =
    ScriptedTarget.write(socket, head(request, 2 * LARGE.length) + LARGE)

/** Responses that are too large to be held whole and reach the caller while they arrive. */
class StreamedResponseTest :
    FunSpec({
        test("the connection to a target is used again after a streamed response") {
            val connections = CopyOnWriteArraySet<Socket>()
            withTargets({ request, socket ->
                connections.add(socket)
                ScriptedTarget.respond(socket, request, body = LARGE)
            }) { testbed, _ ->
                repeat(5) { testbed.call("/safe/", id = "id-$it").body shouldBe LARGE }
                connections.size shouldBe 1
            }
        }

        test("the connection to a target closes when the caller leaves in the middle of a streamed response") {
            val isClosed = CountDownLatch(1)
            withTargets({ request, socket ->
                writeHalf(request, socket)
                if (runCatching { socket.getInputStream().read() }.getOrDefault(-1) < 0) isClosed.countDown()
            }) { testbed, _ ->
                testbed.connect().use { socket ->
                    ScriptedTarget.write(socket, get("id"))
                    socket.getInputStream().readNBytes(500_000).size shouldBe 500_000
                }
                // Before the deadline of the request.
                isClosed.await(1, TimeUnit.SECONDS) shouldBe true
            }
        }

        // Guards against a reset of the caller's connection after a write has found it closed; the testbed reports it.
        test("a response that breaks off at the moment at which its caller leaves ends the request") {
            val release = Semaphore(0)
            withTargets({ request, socket ->
                writeHalf(request, socket)
                release.acquire()
                ScriptedTarget.write(socket, "x".repeat(1_000))
                ScriptedTarget.reset(socket)
                release.release()
            }) { testbed, _ ->
                repeat(20) { number ->
                    val socket = testbed.connect()
                    ScriptedTarget.write(socket, get("id-$number"))
                    socket.getInputStream().readNBytes(LARGE.length)
                    val unblock = CountDownLatch(1)
                    val blocked = thread { testbed.onEventLoop { unblock.await() } }
                    ScriptedTarget.reset(socket)
                    release.release()
                    release.acquire()
                    Thread.sleep(20)
                    unblock.countDown()
                    blocked.join()
                }
                Thread.sleep(200)
            }
        }

        test("a slot is occupied until its streamed response ends") {
            val released = CountDownLatch(1)
            withTargets({ request, socket ->
                writeHalf(request, socket)
                released.await(20, TimeUnit.SECONDS)
                ScriptedTarget.write(socket, LARGE)
            }) { testbed, (target) ->
                val sockets = List(8) { number ->
                    testbed.connect().also {
                        ScriptedTarget.write(it, get("id-$number"))
                        Thread.sleep(50)
                    }
                }
                Thread.sleep(200)
                // Four slots, and one request that may wait at the target.
                target.received.size shouldBeLessThanOrEqual 5
                released.countDown()
                sockets.forEach { it.close() }
            }
        }

        test("a streamed response that stalls ends at the deadline, for the caller and for the target") {
            val isClosed = CountDownLatch(1)
            withTargets({ request, socket ->
                writeHalf(request, socket)
                if (runCatching { socket.getInputStream().read() }.getOrDefault(-1) < 0) isClosed.countDown()
            }) { testbed, _ ->
                testbed.connect().use { socket ->
                    ScriptedTarget.write(socket, get("id", deadline = 700))
                    testbed.readResponse(socket).complete shouldBe false
                }
                isClosed.await(5, TimeUnit.SECONDS) shouldBe true
            }
        }

        test("a streamed response without a length is complete if its connection is closed, not if it is reset") {
            withTargets({ request, socket ->
                ScriptedTarget.write(socket, head(request) + LARGE)
                socket.close()
            }) { testbed, _ ->
                testbed.connect().use { socket ->
                    ScriptedTarget.write(socket, get("id"))
                    val response = testbed.readResponse(socket)
                    response.complete shouldBe true
                    response.body shouldBe LARGE
                }
            }
            withTargets({ request, socket ->
                ScriptedTarget.write(socket, head(request) + LARGE)
                Thread.sleep(200)
                ScriptedTarget.reset(socket)
            }) { testbed, _ ->
                testbed.connect().use { socket ->
                    ScriptedTarget.write(socket, get("id"))
                    testbed.readResponse(socket).complete shouldBe false
                }
            }
        }

        test("a chunked response that breaks off in its last chunk or trailer is incomplete") {
            for (end in listOf("", "0\r\n", "0\r\nX-Trailer: ", "ffff\r\nxx")) {
                withTargets({ request, socket ->
                    val head = "HTTP/1.1 200 OK\r\nX-Id: ${request.id}\r\nTransfer-Encoding: chunked\r\n\r\n"
                    ScriptedTarget.write(socket, "$head${LARGE.length.toString(16)}\r\n$LARGE\r\n$end")
                    socket.close()
                }) { testbed, _ ->
                    testbed.connect().use { socket ->
                        ScriptedTarget.write(socket, get("id"))
                        testbed.readResponse(socket).complete shouldBe false
                    }
                }
            }
        }

        test("the log of a streamed reply has the status of its target, whether it was complete or not") {
            val appender = ListAppender<ILoggingEvent>().apply { start() }
            val logger = LoggerFactory.getLogger("anvilshed") as Logger
            logger.addAppender(appender)
            val formerLevel = logger.level
            logger.level = Level.INFO
            val partial = "HTTP/1.1 206 Partial Content\r\n"
            withTargets({ request, socket ->
                val isComplete = request.id == "whole"
                val length = if (isComplete) LARGE.length else 2 * LARGE.length
                ScriptedTarget.write(socket, "${partial}X-Id: ${request.id}\r\nContent-Length: $length\r\n\r\n$LARGE")
                if (!isComplete) socket.close()
            }) { testbed, _ ->
                testbed.call("/safe/", id = "whole").status shouldBe 206
                testbed.call("/safe/", id = "broken").complete shouldBe false
                fun statuses() = appender.list.toList().filter { it.message == "reply" }.associate { event ->
                    val fields = event.keyValuePairs.associate { it.key to it.value.toString() }
                    fields["id"] to fields["status"]
                }
                GatewayTestbed.await { statuses().keys.containsAll(listOf("whole", "broken")) }
                statuses()["whole"] shouldBe "206"
                statuses()["broken"] shouldBe "206"
            }
            logger.level = formerLevel
            logger.detachAppender(appender)
        }

        test("a target stops sending while the caller does not read") {
            val written = AtomicLong()
            withTargets({ request, socket ->
                ScriptedTarget.write(socket, head(request, 200 * LARGE.length))
                repeat(200) {
                    ScriptedTarget.write(socket, LARGE)
                    written.addAndGet(LARGE.length.toLong())
                }
            }) { testbed, _ ->
                testbed.connect().use { socket ->
                    ScriptedTarget.write(socket, get("id"))
                    Thread.sleep(1_000)
                    // The buffers of four sockets hold some megabytes each.
                    written.get() shouldBeLessThan 50_000_000L
                }
            }
        }

        test("a response that is slow but arriving is not replaced by a retry") {
            val sends = AtomicInteger()
            val slow: (ReceivedRequest, Socket) -> Unit = { request, socket ->
                sends.incrementAndGet()
                ScriptedTarget.write(socket, head(request, 10) + "01234")
                Thread.sleep(1_200)
                ScriptedTarget.write(socket, "56789")
            }
            withTargets(slow, slow) { testbed, _ ->
                val response = testbed.call("/safe/")
                response.status shouldBe 200
                response.body shouldBe "0123456789"
                sends.get() shouldBeLessThan 2
            }
        }
    })
