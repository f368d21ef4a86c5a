package org.anvilshed.wire.platform

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.vertx.core.Vertx
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.delay
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.concurrent.thread
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val IDLE_MILLIS = 20L
private const val STRAY_HEAD = "HTTP/1.1 200 OK\r\nObject-Version: 7\r\nServer: x\r\n"

/** When a platform writes bytes that belong to no response. */
private enum class StrayTime { WITH_RESPONSE, WHILE_IDLE, AFTER_NEXT_REQUEST }

/** Platform that responds to `GET` with 200 and writes [stray] at [time] in addition, and to others with 409. */
private class StutteringPlatform(private val stray: String, private val time: StrayTime) : AutoCloseable {
    private val server = ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"))
    val url = "http://127.0.0.1:${server.localPort}"

    init {
        thread(isDaemon = true) {
            runCatching {
                while (true) {
                    val socket = server.accept()
                    thread(isDaemon = true) { runCatching { serve(socket) } }
                }
            }
        }
    }

    private fun serve(socket: Socket) {
        val input = socket.getInputStream().bufferedReader()
        while (true) {
            val head = generateSequence { input.readLine() }.takeWhile { it.isNotEmpty() }.toList()
            if (head.isEmpty()) return
            if (!head.first().startsWith("GET")) {
                socket.send((if (time == StrayTime.AFTER_NEXT_REQUEST) stray else "") + response("409 Conflict"))
                continue
            }
            socket.send(response("200 OK") + if (time == StrayTime.WITH_RESPONSE) stray else "")
            if (time == StrayTime.WHILE_IDLE) {
                Thread.sleep(IDLE_MILLIS)
                socket.send(stray)
            }
        }
    }

    private fun response(status: String) = "HTTP/1.1 $status\r\nObject-Version: 3\r\nContent-Length: 2\r\n\r\nok"

    private fun Socket.send(text: String) = getOutputStream().run {
        write(text.toByteArray())
        flush()
    }

    override fun close() = server.close()
}

// Guards against a write that is taken for done because of an earlier response.
class PlatformStrayBytesTest :
    FunSpec({
        val vertx = Vertx.vertx()
        val strayBytes = CopyOnWriteArrayList<String>()
        afterSpec { vertx.close().coAwait() }

        /** Returns the result of a write after a read behind whose response the platform wrote [stray]. */
        suspend fun writeAfterRead(stray: String, time: StrayTime): PlatformResult<Long> =
            StutteringPlatform(stray, time).use { platform ->
                VertxPlatformClient(vertx, platform.url, "vm-1", 5.seconds) { strayBytes.add(it) }.use { client ->
                    client.get("a").shouldBeInstanceOf<PlatformResult.Success<PlatformObject>>()
                    delay((2 * IDLE_MILLIS).milliseconds)
                    client.put("a", ByteArray(0), expectedVersion = 1)
                }
            }

        for (time in StrayTime.entries) {
            test("a conflict is not replaced by bytes outside a response, ${time.name.lowercase()}") {
                val wrong = (1..STRAY_HEAD.length).mapNotNull { length ->
                    val result = writeAfterRead(STRAY_HEAD.take(length), time)
                    val isOwn = result == PlatformResult.VersionConflict(3)
                    "$length: $result".takeIf { !isOwn && result !is PlatformResult.OutcomeUncertain }
                }
                wrong.shouldBeEmpty()
            }
        }

        test("bytes outside a response are reported, and the next call is answered on another connection") {
            strayBytes.clear()
            for (time in listOf(StrayTime.WITH_RESPONSE, StrayTime.WHILE_IDLE)) {
                writeAfterRead("HTTP/1.1 200 O", time) shouldBe PlatformResult.VersionConflict(3)
            }
            strayBytes.shouldContainExactly("HTTP/1.1 200 O", "HTTP/1.1 200 O")
        }
    })
