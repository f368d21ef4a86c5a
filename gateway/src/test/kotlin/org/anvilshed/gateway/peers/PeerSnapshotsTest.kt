package org.anvilshed.gateway.peers

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.vertx.core.Vertx
import io.vertx.kotlin.coroutines.dispatcher
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import org.anvilshed.core.SocketAddress
import org.anvilshed.gateway.store.StoreKind
import org.anvilshed.gateway.store.StoreRevision
import org.anvilshed.gateway.testbed.ScriptedTarget
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.time.Duration.Companion.milliseconds

private const val STRAY = "HTTP/1.1 200 O"
private const val COPY = """{"revision":20,"objects":[]}"""

class PeerSnapshotsTest :
    FunSpec({
        // Guards against fetches that time out and keep a connection each, until the peer is never asked again.
        test("a peer that did not respond for a while is asked again once it does") {
            var isSilent = true
            ScriptedTarget { _, socket ->
                if (!isSilent) {
                    ScriptedTarget.write(socket, "HTTP/1.1 200 OK\r\nContent-Length: ${COPY.length}\r\n\r\n$COPY")
                }
            }.use { peer ->
                val vertx = Vertx.vertx()
                val snapshots = PeerSnapshots(vertx, emptyMap())
                val address = SocketAddress("127.0.0.1", peer.port)
                runBlocking(vertx.dispatcher()) {
                    repeat(8) { snapshots.fetchOrNull(address, StoreKind.TARGETS) shouldBe null }
                    isSilent = false
                    snapshots.fetchOrNull(address, StoreKind.TARGETS)?.revision shouldBe StoreRevision(0, 20)
                }
                vertx.close()
            }
        }

        val ok = "HTTP/1.1 200 OK\r\nServer: x\r\n"
        val framed = "Content-Length: ${COPY.length}\r\n\r\n$COPY"
        val invalidResponses = listOf("HHTTP/1.1 200 OK\r\n\r\n") +
            listOf("000", "099", "600", "20", "2000", "abc").map { "HTTP/1.1 $it OK\r\n$framed" } +
            listOf(" X-Odd: v", " ", "X Odd: v", "X-Odd : v", "X-\u0001Odd: v").map { "$ok$it\r\n$framed" }
        // Guards against an exception that nobody expects and that ends the catch-up with all peers.
        test("a copy of another form is no copy, and does not throw") {
            val bodies = listOf(
                "", "[]", "{}", "null", """{"revision":20}""", """{"objects":[]}""",
                """{"revision":"20","objects":[]}""",
                """{"revision":20,"objects":{}}""", """{"revision":20,"objects":[1]}""",
                """{"revision":20,"objects":[{"name":"a"}]}""", """{"revision":20,"objects":[{"revision":1}]}""",
                """{"revision":20,"objects":[{"name":1,"revision":1}]}""",
                """{"revision":20,"objects":[{"name":"a","revision":{}}]}""", "[".repeat(3_000),
            )
            for (body in bodies) {
                ScriptedTarget { _, socket ->
                    ScriptedTarget.write(socket, "HTTP/1.1 200 OK\r\nContent-Length: ${body.length}\r\n\r\n$body")
                }.use { peer ->
                    val vertx = Vertx.vertx()
                    val snapshots = PeerSnapshots(vertx, emptyMap())
                    val address = SocketAddress("127.0.0.1", peer.port)
                    runBlocking(vertx.dispatcher()) {
                        withClue(body.take(100)) { snapshots.fetchOrNull(address, StoreKind.TARGETS) shouldBe null }
                    }
                    vertx.close()
                }
            }
        }

        test("a response that is not valid HTTP is no copy, and does not throw") {
            for (response in invalidResponses) {
                ScriptedTarget { _, socket -> ScriptedTarget.write(socket, response) }.use { peer ->
                    val vertx = Vertx.vertx()
                    val snapshots = PeerSnapshots(vertx, emptyMap())
                    val address = SocketAddress("127.0.0.1", peer.port)
                    runBlocking(vertx.dispatcher()) {
                        withClue(response) { snapshots.fetchOrNull(address, StoreKind.TARGETS) shouldBe null }
                    }
                    vertx.close()
                }
            }
        }

        test("a response without a length is a copy if it ends orderly, not if it is reset") {
            for (isReset in listOf(false, true)) {
                ScriptedTarget { _, socket ->
                    ScriptedTarget.write(socket, "$ok\r\n$COPY")
                    Thread.sleep(50)
                    if (isReset) ScriptedTarget.reset(socket) else socket.close()
                }.use { peer ->
                    val vertx = Vertx.vertx()
                    val snapshots = PeerSnapshots(vertx, emptyMap())
                    val address = SocketAddress("127.0.0.1", peer.port)
                    runBlocking(vertx.dispatcher()) {
                        val copy = snapshots.fetchOrNull(address, StoreKind.TARGETS)
                        copy?.revision shouldBe StoreRevision(0, 20).takeIf { !isReset }
                    }
                    vertx.close()
                }
            }
        }

        for (delayMillis in listOf(0L, 30L)) {
            test("a copy is not taken because of bytes outside a response, written $delayMillis ms after it") {
                val strayBytes = CopyOnWriteArrayList<String>()
                var status = "200 OK"
                ScriptedTarget { _, socket ->
                    val response = "HTTP/1.1 $status\r\nContent-Length: ${COPY.length}\r\n\r\n$COPY"
                    if (delayMillis == 0L) return@ScriptedTarget ScriptedTarget.write(socket, response + STRAY)
                    ScriptedTarget.write(socket, response)
                    Thread.sleep(delayMillis)
                    ScriptedTarget.write(socket, STRAY)
                }.use { peer ->
                    val vertx = Vertx.vertx()
                    val snapshots = PeerSnapshots(vertx, emptyMap()) { address, bytes ->
                        strayBytes.add("$address $bytes")
                    }
                    val address = SocketAddress("127.0.0.1", peer.port)
                    runBlocking(vertx.dispatcher()) {
                        snapshots.fetchOrNull(address, StoreKind.TARGETS)?.revision shouldBe StoreRevision(0, 20)
                        status = "404 Not Found"
                        delay(100.milliseconds)
                        snapshots.fetchOrNull(address, StoreKind.TARGETS) shouldBe null
                    }
                    strayBytes.first() shouldBe "127.0.0.1:${peer.port} $STRAY"
                    vertx.close()
                }
            }
        }
    })
